//! The daemon's command line.

use std::path::PathBuf;

use bpaf::Bpaf;

/// The dahliaseam daemon: routes requests from callers to endpoints on one entry VM.
///
/// It stops as planned on SIGTERM: not ready, then no new work, then, when the last request is
/// over, exit 0. Exit 2 means that the settings cannot be used.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct App {
    /// Serve by the routes and replicas of the platform's store
    pub(crate) routes: bool,
    /// Settings file, in JSON
    #[bpaf(short, long, argument("FILE"))]
    pub(crate) settings: PathBuf,
    /// Check the settings and exit
    pub(crate) check: bool,
}
