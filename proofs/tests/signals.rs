//! Signals to a daemon.

use proofs::{
    cluster::{Cluster, ClusterSetup, WAIT_TIMEOUT},
    process::{Process, program},
};
use rustix::process::Signal;

/// Guards against a daemon that is killed by a SIGHUP, because nothing handled it.
#[tokio::test]
async fn a_signal_to_reload_does_not_end_a_daemon() {
    let mut cluster = Cluster::start(ClusterSetup { daemons: 1, ..ClusterSetup::default() }).await;
    cluster.daemon("entry-1").reload();
    cluster.wait_until("the signal is logged", async || cluster.log("entry-1").contains("RELOAD_IGNORED")).await;
    assert!(cluster.is_ready("entry-1").await, "the daemon still serves");
    cluster.daemon("entry-1").terminate();
    let status = cluster.daemon("entry-1").wait(WAIT_TIMEOUT).await;
    assert!(status.success(), "{status}");
}

/// Guards against a daemon that is killed by a further signal while it stops.
#[tokio::test]
async fn signals_during_the_stop_do_not_end_a_daemon_early() {
    let mut cluster = Cluster::start(ClusterSetup { daemons: 1, ..ClusterSetup::default() }).await;
    cluster.daemon("entry-1").terminate();
    cluster.wait_until("the daemon is stopping", async || cluster.log("entry-1").contains("STOPPING")).await;
    for signal in [Signal::TERM, Signal::INT, Signal::HUP] {
        cluster.daemon("entry-1").signal(signal);
    }
    let status = cluster.daemon("entry-1").wait(WAIT_TIMEOUT).await;
    assert!(status.success(), "{status}");
    assert!(cluster.log("entry-1").contains("STOPPED"), "the daemon finishes its stop");
}

/// Guards against a daemon that is killed by a signal to stop while its program is being loaded, though its supervisor has
/// blocked the signal.
#[tokio::test]
async fn a_signal_to_stop_during_the_start_ends_a_daemon_with_success() {
    let mut cluster = Cluster::start_platform(ClusterSetup { daemons: 1, ..ClusterSetup::default() });
    cluster.start_daemon_by("entry-1", Process::start_with_signals_blocked);
    cluster.daemon("entry-1").terminate();
    let status = cluster.daemon("entry-1").wait(WAIT_TIMEOUT).await;
    assert!(status.success(), "{status}");
}

/// Guards against a daemon that is killed by a signal between the end of its loading and `main`.
#[tokio::test]
async fn signals_are_blocked_before_the_initializers_of_the_libraries_run() {
    let mut cluster = Cluster::start_platform(ClusterSetup { daemons: 1, ..ClusterSetup::default() });
    for signal in [Signal::TERM, Signal::INT, Signal::HUP] {
        cluster.start_daemon_by("entry-1", |command| Process::start_with_signal_before_main(command, signal));
        if signal == Signal::HUP {
            cluster.daemon("entry-1").terminate();
        }
        let status = cluster.daemon("entry-1").wait(WAIT_TIMEOUT).await;
        assert!(status.success(), "{signal:?}: {status}");
    }
}

/// Guards against a daemon that is loaded for milliseconds, in which any signal kills it, because the loader adjusts the
/// addresses in its data.
#[test]
fn the_daemon_is_linked_at_a_fixed_address() {
    /// Offset of the type in an ELF file.
    const TYPE_OFFSET: usize = 16;
    /// Type of an executable that is not position-independent, `ET_EXEC`.
    const FIXED: u8 = 2;
    let file = std::fs::read(program("dahliaseamd")).expect("the program can be read");
    assert_eq!(file[TYPE_OFFSET], FIXED);
}
