//! The daemon's command line.

use std::path::PathBuf;

use bpaf::Bpaf;

/// The dahliaseam daemon: routes requests from callers to endpoints on one entry VM.
///
/// On SIGTERM it stops gracefully: it reports not ready, then accepts no new work, and exits with 0 when the last
/// request has finished. Exit code 2 means that the daemon cannot start, for example because the settings cannot be
/// used.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct App {
    /// Route requests by the routes and replicas in the platform's store
    pub(crate) routes: bool,
    /// Settings file, in JSON
    #[bpaf(short, long, argument("FILE"))]
    pub(crate) settings: PathBuf,
    /// Check the settings and exit
    pub(crate) check: bool,
}
