namespace cpp dragonflyglade.wire

/** A workspace's bucket at its holder. Levels are whole tokens. */
struct Balance {
  1: string workspace
  2: i64 level
  3: i64 cap
}

/** What one instance knows of another. */
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

/** A target that somebody saw leaving or refusing. */
struct TargetMark {
  1: string target
  2: i32 age_ms
}

struct Heartbeat {
  1: MemberUpdate sender
  2: list<MemberUpdate> updates
  3: i64 config_revision
  4: i64 config_age_ms
  5: list<Balance> balances
  6: list<TargetMark> leaving_targets
}

struct ConfigRecord {
  1: string key
  2: i64 revision
  3: string value
  4: bool deleted
}

struct ConfigPage {
  1: list<ConfigRecord> records
  2: i64 revision
  3: i64 age_ms
}

struct LoanReply {
  1: i64 granted
  2: i64 level
  3: i64 cap
  /** The tokens may be spent after this many microseconds. */
  4: i64 wait_us
  /** To be shown when the tokens are returned. */
  5: i64 stamp
  /** They are void this many microseconds after the asking. */
  6: i64 use_by_us
}

struct EpochConfirmation {
  1: i64 incarnation
  2: map<string, i64> epochs
}

/** Tokens a second that callers of one instance ask of each model. */
struct DemandReport {
  1: map<string, double> rates
}

service PeerService {
  Heartbeat exchange(1: Heartbeat own),
  /** Asks the receiver to probe a third instance. */
  bool probe(1: string name),
  ConfigPage pullConfig(1: i64 after_revision),
  LoanReply borrow(1: string workspace, 2: i64 tokens, 3: i64 longest_wait_us),
  /** Gives back lent tokens that were not spent. */
  oneway void giveBack(1: string workspace, 2: i64 tokens, 3: i64 stamp),
  /** The allotment epochs that the receiver follows. */
  EpochConfirmation confirmEpochs(1: list<string> workspaces),
  DemandReport demand(),
}
