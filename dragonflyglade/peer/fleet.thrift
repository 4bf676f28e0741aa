namespace cpp dragonflyglade.wire

/** The load that one instance, or the whole fleet, puts on a target now. */
struct TargetUse {
  1: string target
  2: i32 requests
  /** Prompt tokens of requests sent to the target whose first output has not
      arrived yet. */
  3: i64 unread_tokens
  /** Models and adapters that these requests use, as "model" or
      "model/adapter". */
  4: list<string> residents
}

/** The demand for a model or adapter since the instance's last report. */
struct ModelWish {
  1: string service_name
  2: string model
  /** Empty for the demand for the model itself. */
  3: string adapter
  4: double requests
  /** The requests' estimated work, in milliseconds of engine time. */
  5: double work_ms
  /** Requests waiting now because the model or adapter is resident nowhere. */
  6: i32 waiting
}

/** Tokens that count against a workspace's quota in the quota window. */
struct WorkspaceSpend {
  1: string workspace
  2: i64 tokens
  /** In a report: all tokens that the process has spent since its start, less
      refunds. */
  3: optional i64 total
  /** In a summary: tokens in the workspace's bucket at the leader; may be
      negative. Not set while the leader does not know enough spending. In a
      report: the level in the last summary, if that is recent. */
  4: optional i64 bucket_level
}

/** A model or adapter that a target reported not to have resident. */
struct TargetLack {
  1: string target
  2: string model
  3: string adapter
}

/** A target's statement on the rate of requests that it takes from all
    instances together. */
struct TargetLimit {
  1: string target
  /** The start time of the target process that made it. */
  2: i64 born_ms
  /** Negative if the target no longer states a limit. */
  3: double requests_per_second
  /** Time since the target made the statement. */
  4: i64 age_ms
}

/** A target's statement on the requests that it can decline, from all instances
    together, without failing. */
struct TargetBrittleness {
  1: string target
  /** The start time of the target process that made it. */
  2: i64 born_ms
  /** Negative if the target no longer states one. */
  3: double declines_per_second
  /** Time since the target made the statement. */
  4: i64 age_ms
  /** Time since the target declined a request; negative if it has not. */
  5: i64 declined_ago_ms
}

/** The process of a target. */
struct TargetProcess {
  1: string target
  /** Its start time. */
  2: i64 born_ms
}

/** Shared parts of prompts that a target has cached. */
struct CachedParts {
  1: string target
  /** The start time of the target process. */
  2: i64 born_ms
  /** The key of each part, in 8 bytes, the lowest one first. */
  3: binary keys
  /** As keys: parts that it said to have evicted. */
  4: optional binary dropped_keys
}

/** An instance's periodic report to the leader. */
struct InstanceReport {
  1: string instance
  2: string incarnation
  /** The address to send the summary to. */
  3: string address
  4: i64 sequence
  5: list<TargetUse> targets
  6: list<ModelWish> wishes
  7: list<WorkspaceSpend> spends
  /** Age of the process; the spends leave out what an earlier process of the
      instance spent. */
  8: i64 age_ms
  /** Models and adapters that targets reported not to have, although the
      targets' records list them. */
  9: list<TargetLack> lacks
  /** The store revision up to which the instance knows all urgent changes. */
  10: i64 store_revision
  /** The incarnation of the leader from which the instance has its target
      holdings, and their version, which is 0 if it has none. */
  11: string holdings_of
  12: i64 holdings_version
  /** Time until the next report, unless an event causes one earlier. */
  13: i64 interval_ms
  /** Whether the instance is listed, so that callers are directed to it. */
  14: bool listed
  /** The highest number up to which all grants are contained in the spends or
      will not be used. */
  15: i64 grants_through
  /** How long the instance has been listed; many hours if it was listed since
      the start of the process. */
  16: i64 listed_ms
  /** Targets that refused a connection since the last report, so their
      processes have terminated. */
  17: list<string> refusing
  /** The newest statements of targets that state a limit, or did lately. */
  18: list<TargetLimit> limits
  /** The newest statements of brittle targets, and of those that were lately. */
  19: list<TargetBrittleness> brittle
  /** The sender's clock, in milliseconds, when it sent the report. */
  20: i64 sent_ms
  /** Targets that said in a response that they leave, while their records do
      not say so. */
  21: list<TargetProcess> leaving
  /** Parts that targets have read for requests of this instance, or said to
      have cached or evicted, since the last report. At most 64. */
  22: optional list<CachedParts> cached_parts
}

/** An urgent change of the store, which instances have to apply at once. */
struct StoreChange {
  1: string key
  2: binary value
  3: i64 revision
  4: i64 lease
  5: bool deleted
}

/** The adapters resident at a target, and the models that it is about to
    unload. */
struct TargetHoldings {
  1: string target
  2: list<string> adapters
  3: list<string> closing_models
  /** The start time of the target process that this describes. */
  4: i64 born_ms
}

/** Changes that are serialized together. */
struct StoreChanges {
  1: list<StoreChange> changes
}

/** Describes a change that is too large for a digest and is requested in
    parts. */
struct LargeChange {
  1: string key
  2: i64 revision
  /** The XXH64 hash of the serialized change, which its parts make up. */
  3: i64 checksum
  4: i32 parts
}

/** Asks for parts of a large change. */
struct PartRequest {
  /** The address to send the parts to. */
  1: string address
  2: string key
  3: i64 revision
  4: i64 checksum
  /** The numbers of the requested parts, from 0. */
  5: list<i32> parts
}

/** A part of a large change. */
struct ChangePart {
  1: i64 checksum
  2: i32 number
  3: binary bytes
}

/** Returns the time of the receiver's last report or question to it. */
struct RequestEcho {
  /** The receiver's clock, as its report or question said. */
  1: i64 sent_ms
  /** Time since the sender of this has it. */
  2: i64 held_ms
}

/** The latest time in which the store responded without a long gap, to the
    sender or to instances that told the sender. */
struct StoreUptime {
  /** How long ago it began. */
  1: i64 since_ms
  /** The age of the last response. */
  2: i64 through_ms
}

/** The keys of the store that exist. */
struct ExistingKeys {
  /** The lower half of each key's XXH64 hash. */
  1: list<i32> hashes
  /** The revision at which they exist. */
  2: i64 revision
}

/** The state of the store as a relay instance knows it. */
struct StoreDigest {
  /** The newest revision with an urgent change. */
  1: i64 urgent_revision
  /** Time since the store last confirmed to the sender that it knows the newest
      revision. */
  2: i64 age_ms
  /** Urgent changes since the revision that the receiver named, as serialized
      StoreChanges; empty if there are none. */
  3: binary changes
  /** The revision up to which the changes are complete; 0 if some may be
      missing. */
  4: i64 changes_through
  /** Changes since that revision that are too large for the digest. */
  5: list<LargeChange> large_changes
  /** The revision up to which the changes are complete for a receiver that has
      the large changes, too. */
  6: i64 through_with_large_changes
  /** The address to request large changes from. */
  7: string address
  /** Whether the sender does not have the changes since the revision that the
      receiver named, and cannot send them. */
  8: bool lacks_history
  /** Not set if the digest responds to nothing. Then the receiver cannot tell
      how long it was on its way. */
  9: optional RequestEcho echo
  /** Set if the sender does not have all changes since the revision that the
      receiver named, but the latest of each key that exists. The receiver
      removes the others. */
  10: optional ExistingKeys existing
  /** Not set if the sender knows of no response. */
  11: optional StoreUptime uptime
}

/** Asks a relay instance for the state of the store. */
struct StoreQuestion {
  /** The address to send the digest to. */
  1: string address
  /** The revision up to which the sender knows all urgent changes. */
  2: i64 known
  /** The sender's clock, in milliseconds, when it sent the question. */
  3: i64 sent_ms
}

/** The leader's response to an instance's report. */
struct FleetSummary {
  /** The incarnation of the leader. */
  1: string holder
  /** The fencing token of the leader's lease. */
  2: i64 fence
  /** The sequence number of the receiver's last report that the sums
      include. */
  3: i64 answers
  /** The number of listed instances that reported recently. */
  4: i32 instances
  /** The load of the other instances on each target. */
  5: list<TargetUse> targets
  /** Targets whose holdings changed since the version that the receiver's
      report names. */
  6: list<TargetHoldings> holdings
  7: list<WorkspaceSpend> spends
  /** Of the listed instances, those that restarted within the quota window so
      that their earlier spending is unknown, each counted as the fraction of
      the window for which it is unknown. */
  8: double unknown_shares
  9: StoreDigest store
  /** The fraction of each quota, 0 to 1, that may be spent by instances whose
      reports are missing. */
  10: double missing_part
  /** The version of all holdings; 0 if the leader does not know what targets
      hold. */
  13: i64 holdings_version
  /** As in the reports, of all instances. */
  14: list<TargetLimit> limits
  /** As in the reports, of all instances. */
  15: list<TargetBrittleness> brittle
  /** As in the reports, of all instances. */
  16: list<TargetProcess> leaving
  /** Parts that targets have read for requests of other instances since the
      last summary to the receiver. */
  17: optional list<CachedParts> cached_parts
}

/** Asks the leader to admit a request that exceeds the instance's own share of
    a quota. */
struct QuotaAsk {
  /** Increases within a process; a retry of the same ask keeps its number. */
  1: i64 number
  2: string incarnation
  /** The address to send the grant to. */
  3: string address
  4: string workspace
  5: i64 tokens
}

/** The leader's response to a QuotaAsk. */
struct QuotaGrant {
  /** The incarnation of the leader. */
  1: string holder
  /** The number of the ask. */
  2: i64 number
  3: bool granted
  4: i64 retry_after_ms
  /** Tokens of the quota that were left to the fleet before the request. */
  5: i64 left
}

/** Prompt tokens that an instance has just sent to a target. */
struct SentPrompts {
  1: string target
  2: i64 tokens
}

/** Sent to the other listed instances as soon as prompts are sent to targets,
    so that their view of the targets' load does not wait for a summary. */
struct SendNote {
  1: list<SentPrompts> prompts
}

/** The software version of the target that sends a stream. */
struct StreamOrigin {
  /** The id of the caller's attempt that the stream began with. */
  1: string stream
  /** Not set if the target states no version. */
  2: optional string version
  /** The number of the target within the caller's attempt; the highest counts. */
  3: i32 attempt
  /** For how long a caller may take the stream up. */
  4: i64 lifetime_ms
}

/** Tells the receiver to remember where streams began. */
struct StreamOriginNote {
  1: list<StreamOrigin> origins
}

/** Asks where a stream began. */
struct StreamOriginQuestion {
  /** Increases within a process. */
  1: i64 number
  /** The address to send the answer to. */
  2: string address
  3: string stream
  /** The service of the stream's targets. */
  4: string service_name
  /** For how long a caller may take such a stream up. */
  5: i64 lifetime_ms
}

struct StreamOriginAnswer {
  /** The number of the question. */
  1: i64 number
  /** Not set if the sender does not know the stream. */
  2: optional StreamOrigin origin
  /** Whether the sender has seen targets of several versions within the
      lifetime. */
  3: bool several_versions
  /** The name of the answering instance. */
  4: string instance
}

/** A target's process that ended while it ran requests. */
struct TargetCrash {
  1: string target
  /** The start time of the process. */
  2: i64 born_ms
  /** Not set if the target stated no software version. */
  3: optional string version
}

enum SuspectKind {
  /** A part of a prompt. */
  PART = 0
  /** A request, by its digest. */
  REQUEST = 1
}

/** What the instance that sent a request to a target knew of it. */
enum SentAs {
  /** A crash under it. */
  REPEAT = 0
  /** No crash under it. */
  UNSUSPECTED = 1
  /** That it is held back: it was sent to show that it is sound. */
  TRIAL = 2
}

/** Tells an owner that a target crashed when it may have begun to answer
    requests with the parts, or while it ran the requests. */
struct CrashNote {
  1: TargetCrash crash
  2: list<string> suspects
  /** The receiver's position among the owners of each suspect, from 0. */
  3: list<i32> owner_ranks
  4: SuspectKind kind = SuspectKind.PART
  /** Where to send what is known of the suspects, with the number. */
  5: optional string reply_to
  6: optional i64 number
  /** Of each request; empty for parts. */
  7: list<SentAs> sent_as
}

/** A crash of a suspect. */
struct SuspectCrash {
  1: string suspect
  2: TargetCrash crash
  3: i64 age_ms
  4: SentAs sent_as = SentAs.REPEAT
}

/** The reply of an owner to a note. */
struct CrashReply {
  1: i64 number
  /** The name of the replying instance. */
  2: string instance
  /** Of the suspects that several targets crashed on. */
  3: list<SuspectCrash> crashes
  /** All crashes around the time of these that the sender knows of. */
  4: list<TargetCrash> all_crashes
}

/** Asks what is known about a suspect. */
struct SuspectQuestion {
  /** The address to send the answer to. */
  1: string address
  2: string suspect
  /** How far back crashes and answers count. */
  3: i64 since_ms
  4: SuspectKind kind = SuspectKind.PART
}

/** When targets of a software version last answered on a suspect. */
struct SuspectSurvival {
  /** Not set if the targets state no version. */
  1: optional string version
  2: i64 age_ms
}

struct SuspectAnswer {
  1: string suspect
  /** Within the time of the question. */
  2: list<SuspectSurvival> survivals
  /** All crashes of targets within it that the sender knows of. */
  3: list<TargetCrash> crashes
  /** The number of requests that were answered within it. */
  4: i32 answers
  /** The name of the answering instance. */
  5: string instance
  6: SuspectKind kind = SuspectKind.PART
}

/** Tells the receiver to refuse what crashes targets. */
struct RefusedSuspectNote {
  1: string suspect
  /** As in the store. */
  2: string record
  3: SuspectKind kind = SuspectKind.PART
  /** Where to confirm the receipt, with the number. */
  4: optional string reply_to
  5: optional i64 number
}

/** Confirms the receipt of a RefusedSuspectNote. */
struct RefusalConfirmation {
  1: i64 number
  /** The name of the confirming instance. */
  2: string instance
}

/** Tells the receiver that a target wants no requests from an instance. */
struct TargetRestNote {
  1: string target
  /** The start time of the target process that asked for it. */
  2: i64 born_ms
  /** For how long from now on. */
  3: i64 rest_ms
  /** The name of the instance: the sender, or the receiver if the target
      answered a request that came through the receiver's tunnel. */
  4: string instance
}

union FleetMessage {
  1: InstanceReport report
  2: FleetSummary summary
  3: QuotaAsk ask
  4: QuotaGrant grant
  5: SendNote note
  /** For an instance that needs no other field of the summary. */
  6: StoreDigest store
  7: StoreQuestion store_question
  8: PartRequest part_request
  9: ChangePart change_part
  10: StreamOriginNote stream_note
  11: StreamOriginQuestion stream_question
  12: StreamOriginAnswer stream_answer
  13: CrashNote crash_note
  14: SuspectQuestion suspect_question
  15: SuspectAnswer suspect_answer
  16: RefusedSuspectNote refused_suspect_note
  17: TargetRestNote rest_note
  18: CrashReply crash_reply
  19: RefusalConfirmation refusal_confirmation
}
