/** Messages between caroblug's own processes.
 *
 * Every message travels inside a Frame; a Frame carries all that waited for
 * one peer. Times are relative milliseconds: clocks of instances are never
 * compared.
 */
namespace py caroblug.gen.wire

/** First message of each end of a connection. */
struct Hello {
  1: string instance
  2: string role
  3: string data_centre
  4: binary nonce
  5: i32 protocol
  6: string host
  7: i32 port
  /** The sender's session with this peer; see transport/_peers.py. */
  30: string session
}

/** One stage of a chain: the side process and the layers it runs. */
struct StageRef {
  1: string instance
  2: string host
  3: i32 port
  4: i32 first_layer
  5: i32 end_layer
}

/** Opens a stream, or opens it again under a newer attempt. */
struct OpenStream {
  1: string stream
  2: i32 attempt
  3: string client_account
  4: string model
  5: list<StageRef> chain
  6: i32 stage
  /** Prompt and accepted tokens; only the first stage receives them. */
  7: list<i32> tokens
  8: i32 prompt_length
  /** Tokens the entry has already accepted, prompt included. */
  9: i32 known_length
  10: i32 max_length
  11: i64 deadline_ms
  12: string fingerprint
  13: i64 seed
  14: StageRef entry
  15: double weight
  /** First position the previous stage sends of its own accord. */
  30: i32 sends_from
  /** Positions before this one run with nothing else in the engine. */
  60: i32 alone_until
  /** The account's weight, which its streams at one engine never exceed. */
  61: double account_weight
}

/** Hidden states for consecutive positions, starting at `position`. */
struct Step {
  1: string stream
  2: i32 attempt
  3: i32 position
  4: list<binary> states
}

/** The token at `position`, sampled by the last stage. */
struct Token {
  1: string stream
  2: i32 attempt
  3: i32 position
  4: i32 token
}

/** Asks the previous stage to send its states again from `position`. */
struct Need {
  1: string stream
  2: i32 attempt
  3: i32 position
}

/** Ends a stream at every stage. */
struct Cancel {
  1: string stream
  2: i32 attempt
  /** Whether only the receiving stage ends; it is no longer in the chain. */
  30: bool only_here
}

/** A stage gives up a stream; `reason` is a StageFailure value. */
struct StageRefusal {
  1: string stream
  2: i32 attempt
  3: string instance
  4: string reason
  5: string message
  6: i32 retry_after_ms
  /** The peer that the stage cannot reach, for `peer_unreachable`. */
  30: string unreachable
}

/** What a side process tells its peers about itself. */
struct LoadReport {
  1: string instance
  2: string role
  3: string data_centre
  4: string target
  5: i32 first_layer
  6: i32 end_layer
  7: double tokens_per_s
  8: i32 waiting
  9: i32 running
  10: bool leaving
  11: i32 bundle_version
  12: string host
  13: i32 port
  /** Streams open at this engine, from every entry. */
  20: i32 streams
  /** Positions that wait or run. */
  21: i32 backlog
  /** Client accounts with streams open here. */
  60: i32 client_accounts
  /** Time until the next report; one that is late is no longer believed. */
  70: i32 interval_ms
}

struct Header {
  1: string name
  2: string value
}

/** A call of a plain service. */
struct PlainCall {
  1: string call
  2: string target
  3: string method
  4: string path
  5: list<Header> headers
  6: binary body
  7: string key
  8: bool repeatable
  9: i64 deadline_ms
  10: string client_account
  11: string fingerprint
}

/** The answer of a plain service, or a refusal (`status` 0). */
struct PlainReply {
  1: string call
  2: i32 status
  3: list<Header> headers
  4: binary body
  5: string reason
  6: string message
  7: string ran
  8: i32 retry_after_ms
}

/** Sent when a connection has had nothing else to say for a while. */
struct Heartbeat {
  1: i64 sequence
}

// Area: routing.

/** Measures a link: sent back by the peer with `answer` set. */
struct LinkProbe {
  /** The asker's own clock; of no meaning to the peer. */
  1: i64 sent_ms
  2: bool answer
}

// Bundles.

/** What a process says about its bundle in force; version 0 is none. */
struct BundleAdvert {
  1: i32 version
  2: string digest
  /** Where in the log this version was accepted. */
  3: i64 offset
  /** How long ago the log's end was reached, as far as the sender knows. */
  4: i64 log_age_ms
}

/** Asks a peer for its head, or just for some sections. */
struct BundleFetch {
  1: string digest
  /** Digest of the head that the asker has; its sections are left out. */
  2: string base
  /** Content hashes; if any, only these sections are sent. */
  3: list<string> hashes
}

/** A head's record, and sections by content hash; both may be partial. */
struct BundleSections {
  1: string digest
  2: i64 offset
  /** The record without sections; empty if only sections were asked for. */
  3: binary record
  4: map<string, binary> sections
}

// Limits.

/** What an entry reports of an account to the account's home. */
struct ShareDemand {
  1: string client_account
  2: i32 streams
  3: double used
}

/** What an entry may use of an account until the term ends. */
struct ShareGrant {
  1: string client_account
  2: i32 streams
  3: double tokens
  4: i32 total
  5: i32 term_ms
}

/** A request that was in an engine, or a plain service, as it crashed. */
struct Suspicion {
  1: string fingerprint
  2: string client_account
  3: string crash
  /** Whether the request has since run on past that place. */
  4: bool cleared
  5: i64 remaining_ms
  /** One past the last position that was in the engine; 0 for a call. */
  6: i32 position
}

/** Asks an account's home whether a request may run now, or leaves. */
struct RunRequest {
  1: string fingerprint
  2: i64 number
  3: bool leave
  /** Whether it has run its whole prompt; said when it leaves. */
  4: bool proved
}

/** Lets a request run, with what is known against it. */
struct RunAdmitted {
  1: string fingerprint
  2: i64 number
  3: list<Suspicion> known
}

struct Frame {
  1: list<OpenStream> opens
  2: list<Need> needs
  3: list<Step> steps
  4: list<Token> tokens
  5: list<Cancel> cancels
  6: list<StageRefusal> refusals
  7: list<LoadReport> reports
  8: list<PlainCall> calls
  9: list<PlainReply> replies
  10: list<Heartbeat> heartbeats
  /** Place in the sender's session, from 1; 0 for acknowledgements only. */
  30: i64 number
  /** Every number up to this one has been received. */
  31: i64 acknowledged
  20: list<LinkProbe> probes
  40: list<BundleAdvert> bundle_adverts
  41: list<BundleFetch> bundle_fetches
  42: list<BundleSections> bundle_sections
  60: list<ShareDemand> demands
  61: list<ShareGrant> grants
  62: list<Suspicion> suspicions
  63: list<RunRequest> run_requests
  64: list<RunAdmitted> run_admitted
}
