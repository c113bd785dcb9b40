namespace py egretdale.protocol.gen

struct Ask {
  1: string request_id
  2: string class_name
  3: string organisation
  4: i32 age_ms
  5: i32 prompt_tokens
  6: i32 maximum_tokens
  7: i64 prefix
  8: bool returning
  9: list<string> avoided
  10: i32 shared_tokens
  11: i32 urgency
  12: i32 target_ms
  13: i32 left_ms
  14: i32 pause_ms
  15: string software_version
}

struct Running {
  1: Ask ask
  2: string backend
  3: i32 tokens
  4: i32 running_ms
  5: i32 first_token_ms
  6: bool paused
}

struct Done {
  1: string request_id
  2: string backend
  3: i32 tokens
  4: i32 first_token_ms
  5: i32 running_ms
  6: bool whole
  7: bool failed
}

struct Release {
  1: string request_id
  2: i32 held_ms
  3: bool rejected
}

struct Grant {
  1: string request_id
  2: string backend
  3: i32 prefill_tokens
}

struct Denial {
  1: string request_id
  2: string reason
  3: i32 retry_after_ms
  4: i32 wait_ms
  5: i32 ahead
}

struct Pause {
  1: string request_id
  2: bool paused
}

struct GroupAsk {
  1: string group
  2: bool full
  3: list<Ask> asks
  4: list<Running> running
  5: list<Done> done
  6: list<string> withdrawn
  7: list<Release> released
  8: bool reports_ends
}

struct GroupReply {
  1: string group
  2: i64 term
  3: list<Grant> grants
  4: list<Denial> denials
  5: list<Pause> pauses
  6: i32 load_permille
}

struct MemberUpdate {
  1: string host
  2: i64 incarnation
  3: i32 counter
  4: i32 status
  5: string data_centre
  6: string caller_address
  7: string peer_address
  8: i32 load
  9: i32 capacity
  10: bool cut_off
}

struct BackendUpdate {
  1: string service_name
  2: string name
  3: i64 incarnation
  4: bool leaving
  5: i32 age_ms
}

struct BackendLimit {
  1: string name
  2: i64 born_ms
  3: string source
  4: double limit_per_s
  5: i32 age_ms
  6: double rejections_per_s
}

struct Revision {
  1: string service_name
  2: i64 number
  3: i32 age_ms
  4: i64 era
}

struct StreamOrigin {
  1: string request_id
  2: string service_name
  3: string software_version
}

struct BackendCrash {
  1: string name
  2: i64 born_ms
  3: i32 age_ms
  4: list<i64> fingerprints
}

struct FingerprintRun {
  1: i64 fingerprint
  2: i32 age_ms
}

struct OriginAsk {
  1: string request_id
  2: string service_name
}

struct OriginReply {
  1: string service_name
  2: string software_version
  3: bool several_versions
  4: bool is_recorded
  5: string only_version
}

struct UsageCount {
  1: i64 window
  2: string organisation
  3: i32 count
}

struct ServiceLoad {
  1: string service_name
  2: string data_centre
  3: i32 running
  4: i32 waiting
  5: i32 begun
  6: i32 refused
  7: i64 prompt_tokens
}

struct Batch {
  1: string sender
  2: i64 incarnation
  3: list<GroupAsk> asks
  4: list<GroupReply> replies
  5: list<MemberUpdate> members
  6: list<BackendUpdate> backends
  7: list<Revision> revisions
  8: bool complete
  9: list<BackendLimit> limits
  10: list<StreamOrigin> origins
  11: list<BackendCrash> crashes
  12: list<FingerprintRun> runs
  13: list<FingerprintRun> trials
  14: list<UsageCount> usage
  15: list<ServiceLoad> loads
  16: i64 clock_ms
}

struct ClaimAsk {
  1: string key
  2: string nonce
  3: string host
  4: i64 fingerprint
}

struct ClaimReply {
  1: string verdict
  2: string host
}

struct DocumentCopy {
  1: string service_name
  2: i64 revision
  3: string source
  4: i64 era
}

struct ObjectCopy {
  1: string name
  2: i64 version
  3: string body
}

struct ChangeAsk {
  1: string kind
  2: i64 known
  3: i32 wait_ms
  4: i64 era
}

struct Changes {
  1: string kind
  2: i64 revision
  3: i32 age_ms
  4: i32 waited_ms
  5: bool whole
  6: bool large
  7: list<ObjectCopy> entries
  8: list<string> gone
  9: i64 era
  10: i32 count
  11: i32 answered_ms
}

service Peer {
  Batch deliver(1: Batch batch)
  ClaimReply claim(1: ClaimAsk question)
  bool settle(1: string key, 2: bool ran)
  DocumentCopy fetch(1: string service_name)
  Changes follow(1: ChangeAsk ask)
  OriginReply find_origin(1: OriginAsk ask)
}
