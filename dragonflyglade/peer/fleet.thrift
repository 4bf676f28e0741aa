namespace cpp dragonflyglade.wire

/** What an instance, or the fleet, has at a target now. */
struct TargetUse {
  1: string target
  2: i32 requests
  /** Prompt tokens sent there whose first output has not been seen. */
  3: i64 unread_tokens
  /** Models and adapters in use there, as "model" or "model/adapter". */
  4: list<string> residents
}

/** What callers asked of a model or adapter since the last report. */
struct ModelWish {
  1: string service_name
  2: string model
  /** Empty: the model itself. */
  3: string adapter
  4: double requests
  /** Milliseconds of an engine's time. */
  5: double work_ms
  /** Requests that wait now because it is nowhere. */
  6: i32 waiting
}

/** What was spent of a workspace's quota in the window. */
struct WorkspaceSpend {
  1: string workspace
  2: i64 tokens
}

/** A target said that it does not hold this. */
struct TargetLack {
  1: string target
  2: string model
  3: string adapter
}

struct InstanceReport {
  1: string instance
  2: string incarnation
  /** Where to send the summary. */
  3: string address
  4: i64 sequence
  5: list<TargetUse> targets
  6: list<ModelWish> wishes
  7: list<WorkspaceSpend> spends
  /** Of the process; what one before it spent is not among the spends. */
  8: i64 age_ms
  /** Models and adapters that targets lack although they should be there. */
  9: list<TargetLack> lacks
  /** The revision of the store through which it knows all urgent changes. */
  10: i64 store_revision
  /** The holder whose holdings it knows, and the version of them; 0: none. */
  11: string holdings_of
  12: i64 holdings_version
  /** Until its next report, when nothing happens. */
  13: i64 interval_ms
  /** Whether callers are sent to it. */
  14: bool listed
  /** Grants up to this number are among the spends, or will not be used. */
  15: i64 grants_through
  /** For how long; many hours if from the start of the process. */
  16: i64 listed_ms
  /** Targets that refused a connection since the last report: their processes
      have ended. */
  17: list<string> refusing
}

/** A change of the store that must be followed at once. */
struct StoreChange {
  1: string key
  2: binary value
  3: i64 revision
  4: i64 lease
  5: bool deleted
}

/** The adapters at a target, and the models that are about to leave it. */
struct TargetHoldings {
  1: string target
  2: list<string> adapters
  3: list<string> closing_models
  /** The start of the target's process that this is about. */
  4: i64 born_ms
}

/** Changes that belong together, as they are packed. */
struct StoreChanges {
  1: list<StoreChange> changes
}

/** What the store says, as an instance knows that follows it. */
struct StoreDigest {
  /** The newest revision at which something changed that must be followed at
      once. */
  1: i64 urgent_revision
  /** Since the sender last heard the store say that there is nothing newer. */
  2: i64 age_ms
  /** Urgent changes since the revision that the receiver named, as packed
      StoreChanges; empty: none. */
  3: binary changes
  /** The revision through which the changes are all; 0: some may be missing. */
  4: i64 changes_through
}

/** Asks an instance that follows the store for what is new there. */
struct StoreQuestion {
  /** Where to send the digest. */
  1: string address
  /** The revision through which all urgent changes are known. */
  2: i64 known
}

struct FleetSummary {
  1: string holder
  2: i64 fence
  /** The last report of the addressed instance that is counted in. */
  3: i64 answers
  /** How many instances that callers are sent to were heard lately. */
  4: i32 instances
  5: list<TargetUse> targets
  /** Those that changed since the version that the report names. */
  6: list<TargetHoldings> holdings
  7: list<WorkspaceSpend> spends
  /** Of those, instances that were started anew within the window and whose spending
      before is not known, each weighted by the part of the window. */
  8: double unknown_shares
  9: StoreDigest store
  /** The part of each quota that instances may be spending unheard, 0 to 1. */
  10: double missing_part
  /** 0: the holder does not know what targets hold. */
  13: i64 holdings_version
}

/** May a request of this size run, beyond the instance's own part? */
struct QuotaAsk {
  /** Grows within the process; the same number is the same question. */
  1: i64 number
  2: string incarnation
  /** Where to send the answer. */
  3: string address
  4: string workspace
  5: i64 tokens
}

struct QuotaGrant {
  1: string holder
  2: i64 number
  3: bool granted
  4: i64 retry_after_ms
  /** What the fleet could still spend before the request. */
  5: i64 left
}

/** Prompts that an instance has just sent to a target. */
struct SentPrompts {
  1: string target
  2: i64 tokens
}

/** Told to the other instances that callers are sent to, as it happens. */
struct SendNote {
  1: list<SentPrompts> prompts
}

union FleetMessage {
  1: InstanceReport report
  2: FleetSummary summary
  3: QuotaAsk ask
  4: QuotaGrant grant
  5: SendNote note
  /** For an instance that needs nothing else of a summary. */
  6: StoreDigest store
  7: StoreQuestion store_question
}
