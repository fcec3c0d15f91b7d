//! The numbered events of the log. `docs/EVENTS.md` lists exactly these.

/// An event that the log may show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its number, which never changes its meaning.
    pub code: u32,
    /// Its name.
    pub name: &'static str,
    /// What it means and what to do.
    pub meaning: &'static str,
}

macro_rules! events {
    ($($name:ident = $code:literal, $meaning:literal;)*) => {
        $(#[doc = $meaning] pub const $name: Event =
            Event { code: $code, name: stringify!($name), meaning: $meaning };)*

        /// All events, by number.
        pub const ALL: &[Event] = &[$($name),*];
    };
}

events! {
    STARTED = 100, "The daemon serves.";
    STOPPING = 101, "A planned stop began; new work is taken until the balancer has turned away.";
    DRAINED = 102, "The last request is over; leases are handed over.";
    STOPPED = 103, "The daemon is over.";
    STANDING = 104, "The daemon turned ready or not ready, or goes on without the key-value service.";
    RELOADED = 105, "The settings were read again; `changed` names what is used from now on.";
    SETTINGS_REJECTED = 106, "The settings were read again and cannot be used; nothing changed.";
    MACHINE_RESUMED = 107, "The machine goes on after it was suspended for `away_ms`; what waits looks at the clock again.";
    CONNECTION_REFUSED = 110, "Too many connections are open; one was closed.";
    CONNECTIONS_LEFT = 111, "Connections that waited when the listener closed could not be taken.";
    REQUEST_OVER = 200, "A request is over, with its outcome. At debug level.";
    REQUEST_REFUSED = 201, "A request was refused or given up; the reason says why. At debug level.";
    ATTEMPT_FAILED = 202, "An attempt at an endpoint did not end well. Many for one endpoint: look at that endpoint.";
    FRAME_DROPPED = 203, "A frame was late, crossed or duplicated and was dropped.";
    CLAIM_UNSETTLED = 210, "The answer of a claim was lost; it is settled in the background.";
    CLAIM_REFUSED = 211, "The key-value service is out of reach; keyed requests are refused as not run.";
    ROUTED = 220, "A request goes to these replicas; the fields are what decided it.";
    REFUSED_EARLY = 221, "A request would have come too late at every replica and was refused before it was sent.";
    TRY_FAILED = 222, "A try at a replica failed; `end` says whether it arrived and may have run.";
    BUDGET_SPENT = 223, "A request could have been tried again, but the budget of repeats is spent.";
    STREAM_BROKE = 224, "A replica's stream broke off after it had begun.";
    STREAM_RESUMED = 225, "A stream goes on at another replica after its last whole event.";
    HANDLE_KEPT = 226, "An engine could not be told to free a prompt's memory; it does so by itself later.";
    ROUTED_OVER = 227, "A request on a route is over, with its outcome.";
    NOT_ADMITTED = 228, "A request was answered without a route, or before its body was read.";
    PROMPT_READ = 229, "An engine has read a prompt; the fields compare that with what was predicted. At debug level.";
    REFUSED_STOPPING = 230, "This daemon stops and would not finish the long answer; the request was refused before it was sent.";
    NOT_SENT_ON = 231, "A caller's head cannot be sent on to a replica.";
    READ_OVERDUE = 232, "A prompt's reading takes longer than predicted, and its engine answers; it is waited for. At debug level.";
    REPLICA_ENDED = 233, "A replica ended while it had this request; `ends` of them are known under its content.";
    REQUEST_BLAMED = 234, "Replicas end under requests of this content; they are refused from now on, for `left_ms`.";
    REFUSED_BLAMED = 235, "A request under whose content replicas ended was refused; the fields say by whom that is known.";
    BLAME_LIFTED = 236, "Requests of this content are no longer refused: the time is over, or an operator let them through.";
    BLAME_NOT_STORED = 237, "That requests are refused could not be written to the store, or removed there; it is tried again.";
    REFUSED_LIMITED = 238, "A request was refused without being sent because no replica's rate limit or retry time allows another one now; see `REPLICA_LIMIT` and `REPLICA_RETRY_AFTER`.";
    CONFIG_IN_FORCE = 300, "A newer configuration is in force on this VM.";
    CONFIG_REJECTED = 301, "A stored configuration cannot be read; the present one stays in force.";
    CONFIG_ACCEPTED = 302, "An operator's change was accepted.";
    KV_LOST = 303, "The key-value service does not answer.";
    KV_BACK = 304, "The key-value service answers again.";
    ROUTES_IN_FORCE = 310, "A newer version of the routes is in force on this VM.";
    STORE_READ = 311, "Everything in the store was read anew.";
    STORE_LOST = 312, "The store does not answer; the daemon goes on with what it knows.";
    STORE_BACK = 313, "The store answers again; entries that lapsed meanwhile get a short time to come back.";
    HISTORY_GONE = 314, "The store forgot the changes since the last one followed; everything is read anew.";
    BORROWED = 315, "A newer copy of what lies in the store was taken from another daemon: others follow it, or it is out of reach.";
    NOT_BORROWED = 316, "Another daemon could not be asked for its copy of the store.";
    FOLLOWING = 317, "This daemon begins to follow the store itself, or leaves that to others of its hall.";
    PROOF_OLD = 318, "That the configuration is the newest was last proved long ago, or is proved again; with too old a proof requests with keys are refused as not run.";
    REPLICA_KNOWN = 320, "A replica was discovered, or what it says of itself changed.";
    REPLICA_UNREADABLE = 321, "A replica's entry cannot be read, or lacks a field; it names no replica to use.";
    REPLICA_LEFT = 322, "A replica's entry is gone; it gets no new work after `grace_ms`.";
    REPLICA_FORGOTTEN = 323, "A replica that left has nothing under way any more and is forgotten.";
    REPLICA_LEFT_OUT = 324, "A replica failed repeatedly or could not be reached, and gets no work for a while.";
    REPLICA_LIMIT = 325, "The rate limit that a replica states for all daemons combined changed, or the replica no longer states one.";
    REPLICA_RETRY_AFTER = 326, "A replica stated in its answer that it accepts no further requests from this daemon for `retry_after_ms`.";
    REPLICA_LEAVING = 327, "A replica stated in its answer that it is leaving; it gets no new requests from this daemon.";
    MEMBER = 400, "What is believed of another daemon changed.";
    LIST_REFUSED = 401, "The list of VMs does not name this VM and is not believed.";
    LIST_LOST = 402, "The list of VMs cannot be read.";
    PEER_REFUSED = 403, "A call without the deployment's secret was refused.";
    PEER_HEARD = 410, "Another daemon was heard for the first time.";
    PEER_MESSAGE_LOST = 411, "A message to or from another daemon was lost or cannot be read.";
    NOT_LISTED = 412, "This daemon could not renew its entry in the store; peers that hear it keep telling it.";
    PEER_SILENT = 413, "Another daemon has said nothing for a while; what it had under way no longer counts.";
    SHARD_WON = 500, "This daemon holds a shard's lease under a new fencing number.";
    SHARD_LOST = 501, "This daemon no longer holds a shard's lease.";
    ORDER_SENT = 502, "An order was sent to an engine.";
    ORDER_ANSWERED = 503, "An engine answered an order.";
    ORDER_UNANSWERED = 504, "An order's answer was lost; the engine is asked before anything else.";
    CUSTODY_WAITS = 505, "An engine ignores fencing numbers and its former custodian may still run. It keeps its role until that process is known to be over; see docs/OPERATING.md.";
    ROLE_PLANNED = 506, "The planner decided on a role change.";
    MARKS_REFUSED = 507, "Marks under an old fencing number were refused.";
    ENDPOINT_DUTY = 508, "An endpoint was opened to new work, or closed.";
    ORDERS_HELD = 520, "This daemon has the right to do what one daemon does at a time, under this fencing number, after a wait.";
    ORDERS_NOT_HELD = 521, "This daemon tried to get the right to the duties and could not.";
    ORDERS_NOT_RENEWED = 522, "The lease of the right to the duties could not be renewed; it ends by itself.";
    ORDERS_LOST = 523, "This daemon no longer has the right to the duties.";
    ORDERS_KEPT = 524, "The right to the duties could not be given up; it ends with its lease.";
    ROLE_SHIFT = 525, "An engine is to change its role; the fields are the demand that asks for it.";
    ROLE_ORDERED = 526, "The order to change a role was answered, or its answer was lost.";
    USAGE_STORED = 530, "The report of a window's usage is stored; whoever holds the duties sends just this.";
    USAGE_REPORTED = 531, "A report of usage was sent; without an answer it is sent again as it is.";
    USAGE_NOT_REPORTED = 532, "A step of a report of usage failed; it is tried again.";
    SIZE_WANTED = 533, "Another number of engines is wanted in each hall; the fields are the demand that asks for it.";
    SIZE_ORDERED = 534, "The number of a hall's engines was ordered; without effect it is ordered again.";
    SIZE_NOT_ORDERED = 535, "A step of choosing sizes failed; what is stored is read again.";
    QUOTA_SHARD_TAKEN = 540, "This daemon owns a shard of the teams' quotas from now on; it fills from empty.";
    QUOTA_SHARD_LOST = 541, "This daemon no longer owns these shards: its lease was over.";
    QUOTA_SHARD_NOT_TAKEN = 542, "Shards of quotas could not be taken, renewed or given up; it is tried again.";
    QUOTA_EXCEEDED = 543, "A request was refused since its team has used up its quota; `units` are there after `wait_ms`.";
    QUOTA_UNAVAILABLE = 544, "A request was refused as not run since no owner of its team's quota answered.";
}

/// Log an event: `emit!(info, STARTED, field = value)`.
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
