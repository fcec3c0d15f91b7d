//! The numbered log events. `docs/EVENTS.md` lists exactly these.

/// A log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number of the event, whose meaning never changes.
    pub code: u32,
    /// Name of the event.
    pub name: &'static str,
    /// What the event means, and what to do.
    pub meaning: &'static str,
}

macro_rules! events {
    ($($name:ident = $code:literal, $meaning:literal;)*) => {
        $(#[doc = $meaning] pub const $name: Event =
            Event { code: $code, name: stringify!($name), meaning: $meaning };)*

        /// All events, ordered by number.
        pub const ALL: &[Event] = &[$($name),*];
    };
}

events! {
    STARTED = 100, "The daemon serves.";
    STOPPING = 101, "A graceful stop has begun; new work is accepted until the load balancer has stopped sending it.";
    DRAINED = 102, "The requests in flight have finished, unless `drained` is false; leases are handed over next.";
    STOPPED = 103, "The daemon has stopped.";
    STANDING = 104, "The daemon became ready or not ready, or continues without the key-value service.";
    RELOADED = 105, "The settings were read again; `changed` names the changed settings that are used from now on.";
    SETTINGS_REJECTED = 106, "The settings were read again and cannot be used; nothing has changed.";
    MACHINE_RESUMED = 107, "The machine resumed after it had been suspended for `away_ms`; waiting tasks check the clock again.";
    RELOAD_IGNORED = 108, "SIGHUP was received by a daemon that reads its settings only at its start. Restart it to apply changed settings.";
    STOP_INTERRUPTS = 109, "Requests are still in flight at the end of a stop. Those without a response are answered now: as not run if no replica has got them.";
    CONNECTION_REFUSED = 110, "The maximum number of connections is open; a new one was closed.";
    CONNECTIONS_LEFT = 111, "Connections that were pending when the listener closed could not be accepted.";
    REQUEST_CROSSED_CLOSE = 112, "A request arrived on a connection as it was closed. It was not run, and its caller was told so with 408.";
    CONNECTION_PANICKED = 113, "A connection ended by a panic, and its caller got no response. This is a fault of the program: report it with `why`. If all connections end so, the daemon is not ready.";
    CONNECTION_EVICTED = 114, "The maximum number of connections is open; one on which no request was being served was closed for a new one.";
    RECEIVE_BUFFERS_UNLIMITED = 115, "The system did not accept a bound on the bytes that it keeps for each connection until they are read.";
    REQUEST_OVER = 200, "A request finished with this outcome. At debug level.";
    REQUEST_REFUSED = 201, "A request was refused, failed or was cancelled by its caller, for this reason. At debug level.";
    ATTEMPT_FAILED = 202, "An attempt at an endpoint failed; `delivered` is the number of tokens that the caller has. If there are many for one endpoint, check that endpoint.";
    FRAME_DROPPED = 203, "A frame was late, duplicated or from another request or attempt and was dropped.";
    CLAIM_UNSETTLED = 210, "The answer to a claim was lost; its record is read back or, if that does not find it, deleted in the background.";
    CLAIM_REFUSED = 211, "The key-value service is unreachable; requests with idempotency keys are refused as not run.";
    ROUTED = 220, "A request is sent to these replicas; the fields show what the decision was based on.";
    REFUSED_EARLY = 221, "A request would have been answered too late by every replica and was refused without being sent.";
    TRY_FAILED = 222, "An attempt at a replica failed; `end` says whether the request arrived and may have run. `send` is the number of the send within the request; its answer, if any, followed call `call` on connection `connection` (1: a new connection) and repeats `answer_id`.";
    BUDGET_SPENT = 223, "A request could have been retried, but the retry budget is exhausted.";
    STREAM_BROKE = 224, "A replica's stream broke off after it had started.";
    STREAM_RESUMED = 225, "A stream continues at another replica after its last complete event.";
    HANDLE_KEPT = 226, "An engine could not be told to free the KV cache of a prompt; it frees it by itself later.";
    ROUTED_OVER = 227, "A request on a route finished with this outcome. `sends` lists each send to a replica: its step, replica, connection and call, the identifier that the answer repeats, and its end.";
    NOT_ADMITTED = 228, "A request was refused before a replica was chosen; `why` is the reason.";
    PROMPT_READ = 229, "An engine has prefilled a prompt; the fields compare this with the prediction. At debug level.";
    REFUSED_STOPPING = 230, "This daemon is stopping and may end before the answer is complete; the request was not sent, or not again. `usual_ms` is the time within which most answers on the route are complete, if known; `holds` is false while a call on it is open for longer.";
    NOT_SENT_ON = 231, "The head of a caller's request cannot be forwarded to a replica.";
    READ_OVERDUE = 232, "The prefill of a prompt takes longer than predicted, but its engine answers, so the request keeps waiting. At debug level.";
    REPLICA_ENDED = 233, "A replica crashed while it had this request; `ends` is the number of crashes known for its content, `parts` are the parts of its prompt that other requests may share. With `why` instead, the check for a crash failed.";
    REQUEST_BLAMED = 234, "Replicas crash under requests with this content; such requests are refused from now on, for `left_ms`.";
    REFUSED_BLAMED = 235, "A request was refused because replicas crashed under its content, or under a part of its prompt (`part`); `known_by` names the source of that knowledge.";
    BLAME_LIFTED = 236, "Requests with this content are no longer refused: the refusal expired, an operator lifted it, or a replica answered such a request.";
    BLAME_NOT_STORED = 237, "A refusal or suspicion of requests could not be written to the store or removed there; it is tried again.";
    REFUSED_LIMITED = 238, "A request was refused without being sent because no replica's rate limit or retry time allows another one now; see `REPLICA_LIMIT` and `REPLICA_RETRY_AFTER`.";
    PART_SUSPECTED = 239, "Replicas crashed under different requests whose prompts share this part; `replicas` are those that crashed, as hashes of their identifiers. Requests with the part run one at a time.";
    PART_CLEARED = 240, "A part is no longer suspected or refused: a replica answered a request with it (`by` says where), or an operator lifted its refusal.";
    PART_TRIED = 241, "A request runs as a trial of the suspected parts of its prompt.";
    REFUSED_SUSPECTED = 242, "A request was refused because a part of its prompt (`part`) or its content (`content`) is suspected and another run tries it out, or because reports of the last crash are still due. Its caller is told when to retry.";
    PART_BLAMED = 243, "Replicas crash under requests whose prompts contain this part; such requests are refused from now on, for `left_ms`.";
    CONFIG_IN_FORCE = 300, "A newer configuration is in force on this VM.";
    CONFIG_REJECTED = 301, "A stored configuration cannot be read; the current one stays in force.";
    CONFIG_ACCEPTED = 302, "An operator's change was accepted.";
    KV_LOST = 303, "The key-value service does not answer.";
    KV_BACK = 304, "The key-value service answers again.";
    ROUTES_IN_FORCE = 310, "A newer version of the routes is in force on this VM.";
    STORE_READ = 311, "All entries of the store were read again. Its pages may differ in age: changes are read from `revision` on, that of the oldest one; `newest` is that of the newest one. `pages` is 0 for what a peer sent.";
    STORE_LOST = 312, "The store does not answer; the daemon continues with its copy.";
    STORE_BACK = 313, "The store answers again; replicas whose entries lapsed in the meantime get a short time to register again.";
    HISTORY_GONE = 314, "The store has discarded changes that this daemon has not read yet; everything is read again.";
    BORROWED = 315, "A newer update or snapshot of the store's entries was taken from a peer, since this daemon leaves watching to peers or cannot reach the store.";
    NOT_BORROWED = 316, "No update of the store's entries could be fetched from a peer.";
    FOLLOWING = 317, "This daemon starts to watch the store itself, or leaves that to peers in its hall.";
    PROOF_OLD = 318, "The last proof that the configuration is the newest became too old, or is recent again; while it is too old, requests with keys are refused as not run.";
    STORE_RETURNED = 319, "The store came back from an older copy of itself, in a new era. What the copy lacks stays in force until it is written again or gone.";
    REPLICA_KNOWN = 320, "A replica was discovered, or the description in its store entry changed.";
    REPLICA_UNREADABLE = 321, "A replica's entry cannot be parsed or lacks a field, so the replica is not used.";
    REPLICA_LEFT = 322, "A replica's entry was removed; the replica gets no new work after `grace_ms`.";
    REPLICA_FORGOTTEN = 323, "A replica that left has no requests in flight any more and was removed.";
    REPLICA_LEFT_OUT = 324, "A replica failed repeatedly or could not be reached; it is ejected and gets no requests from this daemon for a while.";
    REPLICA_LIMIT = 325, "The rate limit that a replica states for all daemons combined changed, or the replica no longer states one.";
    REPLICA_RETRY_AFTER = 326, "A replica stated in a response that it accepts no further requests from this daemon for `retry_after_ms`.";
    REPLICA_LEAVING = 327, "A replica stated in a response that it is leaving; it gets no new requests from this daemon.";
    PATH_CHANGED = 328, "This daemon's path to a replica was cut, and calls go through peers from now on, or it works again; `through_peers` is the number of replicas called through peers. If that lasts, check the network between this VM and the replicas.";
    PATH_CHECKED = 329, "The paths to a replica were checked; `found` is the result. At debug level.";
    TUNNEL_REQUESTED = 330, "A peer was asked for a tunnel to a replica. At debug level.";
    TUNNEL_FAILED = 331, "No peer opened a tunnel to a replica; `asked` lists the peers that were asked, each with its answer and the time that it took.";
    TUNNEL_SERVED = 332, "A peer asked this daemon for a tunnel to a replica. At debug level.";
    STREAM_TAKEN_UP = 333, "A caller takes up a stream; `named_by` is who named the version of software that began it. With `nobody` the request is refused, since streams may not go on at another version.";
    SOFTWARE_NOT_RECORDED = 334, "Which versions of software serve could not be recorded in the store; it is tried again.";
    PATHS_LOSSY = 335, "This daemon's own paths to replicas lose so many packets that calls go through peers, or `is_lossy` is false and they no longer do. Check the network of this VM.";
    READING_STORE = 336, "The store's entries are being read again. If `STORE_READ` does not follow, look at the next `STORE_LOST`.";
    STORE_ITEM_UNREADABLE = 337, "An item that the store returned cannot be decoded and is left out; `items` is the number of such items in the answer. What was known under its key stays known.";
    STORE_READ_IN_PART = 338, "The store's entries could not be read to the end, repeatedly, and nothing else is known: the daemon is not ready, and serves with the entries that it has read. `why` of `STORE_LOST` names the reason.";
    MEMBER = 400, "The number of daemons believed to be alive changed.";
    LIST_REFUSED = 401, "The VM list does not contain this VM and is ignored.";
    LIST_LOST = 402, "The VM list cannot be read.";
    PEER_REFUSED = 403, "A call without the deployment's secret was refused.";
    PEER_HEARD = 410, "The first load report of another daemon was received.";
    PEER_MESSAGE_LOST = 411, "A message to or from another daemon was lost or cannot be read.";
    NOT_LISTED = 412, "This daemon could not renew its entry in the store; peers that receive its load reports keep sending theirs to it.";
    PEER_SILENT = 413, "Another daemon has sent nothing for a while and has expired; its requests in flight no longer count.";
    SHARD_WON = 500, "This daemon acquired a shard's lease under a new fencing number.";
    SHARD_LOST = 501, "This daemon no longer holds a shard's lease.";
    ORDER_SENT = 502, "An order was sent to an engine.";
    ORDER_ANSWERED = 503, "An engine answered an order.";
    ORDER_UNANSWERED = 504, "The answer to an order was lost; the engine's status is requested before anything else.";
    CUSTODY_WAITS = 505, "An engine ignores fencing numbers and its former custodian may still run. It keeps its role until that process is known to have terminated; see docs/OPERATING.md.";
    ROLE_PLANNED = 506, "The planner decided on a role change.";
    MARKS_REFUSED = 507, "Marks with an old fencing number were refused.";
    ENDPOINT_DUTY = 508, "An endpoint was opened or closed to new work.";
    ORDERS_HELD = 520, "This daemon became the leader under this fencing number; it may act as leader after `wait_ms`.";
    ORDERS_NOT_HELD = 521, "This daemon tried to become the leader and failed.";
    ORDERS_NOT_RENEWED = 522, "The leader's lease could not be renewed; without renewal it expires.";
    ORDERS_LOST = 523, "This daemon is no longer the leader.";
    ORDERS_KEPT = 524, "The leader's lease could not be revoked; leadership ends when it expires.";
    ROLE_SHIFT = 525, "An engine is to change its role; the fields show the demand that requires it.";
    ROLE_ORDERED = 526, "An order to change a role was answered, or its answer was lost.";
    USAGE_STORED = 530, "The usage report of a window is stored; whoever is the leader sends exactly this report.";
    USAGE_REPORTED = 531, "A usage report was sent; without an answer it is sent again unchanged.";
    USAGE_NOT_REPORTED = 532, "A step of a usage report failed; it is tried again.";
    SIZE_WANTED = 533, "The wanted number of engines per hall changed; the fields show the demand that requires it.";
    SIZE_ORDERED = 534, "The number of engines in a hall was ordered; if that has no effect, it is ordered again.";
    SIZE_NOT_ORDERED = 535, "A step of choosing pool sizes failed; the stored state is read again.";
    QUOTA_SHARD_TAKEN = 540, "This daemon now owns a shard of the teams' quotas; its token buckets start empty.";
    QUOTA_SHARD_LOST = 541, "This daemon no longer owns these quota shards: its lease expired.";
    QUOTA_SHARD_NOT_TAKEN = 542, "Quota shards could not be acquired, renewed or released; it is tried again.";
    QUOTA_EXCEEDED = 543, "A request was refused because its team has used up its quota; `units` are available after `wait_ms`.";
    QUOTA_UNAVAILABLE = 544, "A request was refused as not run because no owner of its team's quota replied.";
}

/// Logs an event: `emit!(info, STARTED, field = value)`.
#[macro_export]
macro_rules! emit {
    ($level:ident, $event:ident $(, $($field:tt)*)?) => {
        ::tracing::$level!(
            code = $crate::event::$event.code,
            event = $crate::event::$event.name
            $(, $($field)*)?
        )
    };
}
