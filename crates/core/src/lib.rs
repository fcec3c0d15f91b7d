//! Decision logic of dahliaseam, without I/O.
//!
//! Nothing here opens a socket, reads a clock or spawns a task. The driver passes in the time, received
//! messages and a random seed; the functions update tables and return the actions to take. The daemon, the
//! benchmarks and the tests run the same code.
//!
//! Requests on routes go to discovered replicas, see [`route`], [`prompt`] and [`fleet`]. Callers' keys are
//! checked by [`team`], given a [`proof`] of the configuration's age, and the quotas of their teams are
//! enforced by [`quota`]. Memory for their bodies is shared by [`body_memory`], and [`connections`] decides which
//! connection closes for another one.
//!
//! The tables ([`endpoint`], [`request`], [`member`]) hold their rows under small `Copy` keys. The components
//! that work on them are [`dispatch`] (which endpoint serves a request), [`member`] (which daemons are alive),
//! [`planner`] (which role an engine has) and [`custody`] (which process may order an engine).

pub mod answer_times;
pub mod body_memory;
pub mod bucket;
pub mod choose;
pub mod claim;
pub mod connections;
pub mod content;
pub mod custody;
pub mod dispatch;
pub mod eject;
pub mod endpoint;
pub mod fleet;
pub mod frame;
pub mod freshness;
pub mod hash;
pub mod lease;
pub mod limit;
pub mod member;
pub mod mix;
pub mod outcome;
pub mod peer;
pub mod planner;
pub mod predict;
pub mod prompt;
pub mod proof;
pub mod queue;
pub mod quota;
pub mod request;
pub mod revision;
pub mod revision_table;
pub mod route;
pub mod software_records;
pub mod stream_origin;
pub mod superseded;
pub mod team;
pub mod time;
pub mod tunnel_peers;
pub mod usage;
pub mod watcher_election;
pub mod window;
