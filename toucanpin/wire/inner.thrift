// Inner protocol between the processes of a toucanpin deployment.
//
// Every payload is an Envelope followed by a Body. The Envelope's fields keep their numbers and types
// in all major versions, so that any process can name the sender of a message that it can't decode.
// New fields get new numbers and are optional, so that older processes skip them.

struct Envelope {
  1: required i16 minor
  2: required string deployment
  3: required string sender
  4: required string site
  5: required i64 incarnation
  6: required i64 sequence
  7: required i64 bundle
  8: required i64 event
  9: optional string audience
  10: optional i64 nonce
}

struct MemberRecord {
  1: required string name
  2: required string site
  3: required i64 incarnation
  4: required i64 sequence
  5: required string address
  6: required i32 port
  7: required string standing
  8: required i64 bundle
}

struct Heartbeat {
  1: required string address
  2: required i32 port
  3: required bool leaving
  4: required i64 digest
  5: required i64 confirmed_age
  6: required list<MemberRecord> records
}

struct PushBundle {
  1: required i64 version
  2: required binary record
}

struct PushAnswer {
  1: required i64 version
  2: required bool applied
  3: required string reason
}

struct PullBundle {
  1: required i64 above
}

struct PullAnswer {
  1: required i64 version
  2: required binary record
}

struct Standstill {
  1: required string owner
  2: required double seconds
}

struct StandstillAnswer {
  1: required bool promised
  2: required string reason
}

struct Refused {
  1: required string reason
}

// status is 0 if the service gave no answer; certain then states that the call had no effect.
// target names the service to call: "store", which is the default, or "advice".
struct RelayCall {
  1: required string method
  2: required string path
  3: required binary body
  4: required double timeout
  5: optional string target
}

struct RelayAnswer {
  1: required i32 status
  2: required binary body
  3: required bool certain
}

// Exactly one field is set.
struct Body {
  1: optional Heartbeat heartbeat
  2: optional PushBundle push_bundle
  3: optional PushAnswer push_answer
  4: optional PullBundle pull_bundle
  5: optional PullAnswer pull_answer
  6: optional Standstill standstill
  7: optional StandstillAnswer standstill_answer
  8: optional Refused refused
  9: optional RelayCall relay_call
  10: optional RelayAnswer relay_answer
}
