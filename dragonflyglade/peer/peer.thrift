namespace cpp dragonflyglade.wire

/** The state of a workspace's token bucket at the sender, in whole tokens. */
struct Balance {
  1: string workspace
  2: i64 level
  3: i64 cap
}

/** A statement of one instance about the state of an instance. */
struct MemberUpdate {
  1: string name
  2: string address
  3: i32 peer_port
  4: i32 caller_port
  5: string zone
  6: i64 incarnation
  7: i32 state
  8: i32 load_permille
  9: i64 sequence
  10: bool leaving
}

/** A target that an instance saw leaving or refusing requests. */
struct TargetMark {
  1: string target
  2: i32 age_ms
}

/** Exchanged between two instances in each heartbeat round. */
struct Heartbeat {
  1: MemberUpdate sender
  2: list<MemberUpdate> updates
  3: i64 config_revision
  4: i64 config_age_ms
  5: list<Balance> balances
  6: list<TargetMark> leaving_targets
}

/** A version of a configuration record. */
struct ConfigRecord {
  1: string key
  2: i64 revision
  3: string value
  4: bool deleted
}

/** Records changed after the requested revision. */
struct ConfigPage {
  1: list<ConfigRecord> records
  2: i64 revision
  3: i64 age_ms
}

/** A lender's response to a request for tokens of a workspace's quota. */
struct LoanReply {
  1: i64 granted
  2: i64 level
  3: i64 cap
  /** The tokens may be spent after this many microseconds. */
  4: i64 wait_us
  /** Identifies the loan when unused tokens are returned. */
  5: i64 stamp
  /** The tokens expire this many microseconds after they were requested. */
  6: i64 use_by_us
}

/** The epochs of the allotments in force at an instance, by workspace. */
struct EpochConfirmation {
  1: i64 incarnation
  2: map<string, i64> epochs
}

/** The demand of one instance's callers for each model, in tokens per
    second. */
struct DemandReport {
  1: map<string, double> rates
}

service PeerService {
  Heartbeat exchange(1: Heartbeat own),
  /** Asks the receiver whether it can reach a third instance. */
  bool probe(1: string name),
  ConfigPage pullConfig(1: i64 after_revision),
  LoanReply borrow(1: string workspace, 2: i64 tokens, 3: i64 longest_wait_us),
  /** Returns borrowed tokens that were not spent. */
  oneway void giveBack(1: string workspace, 2: i64 tokens, 3: i64 stamp),
  /** Reads the allotment epochs in force at the receiver. */
  EpochConfirmation confirmEpochs(1: list<string> workspaces),
  DemandReport demand(),
}
