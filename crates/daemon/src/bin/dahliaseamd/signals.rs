//! The signals that the daemon handles.
//!
//! A signal without a handler ends the process, and a blocked signal stays pending. So the loader blocks the signals
//! before it runs any other code of the program, and `main` first installs the handlers and then unblocks them. While the
//! loader maps the program, nothing of it runs: the build script keeps that time short, and only a supervisor that starts
//! the daemon with the signals blocked loses none then.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use nix::sys::signal::{SigSet, Signal};
use signal_hook::flag;
use tokio::signal::unix::{self, SignalKind};

/// Called by the loader as soon as the libraries can be used, before their initializers and the language's runtime.
// SAFETY: the section holds pointers to functions that the loader calls on the only thread, and this one touches nothing
// but the signal mask.
#[cfg(target_env = "gnu")]
#[used]
#[unsafe(link_section = ".preinit_array")]
static PREINIT: extern "C" fn() = block_signals;

#[cfg(target_env = "gnu")]
extern "C" fn block_signals() {
    // If this fails, the same call in `main` fails and reports it.
    let _ = handled_signals().thread_block();
}

fn handled_signals() -> SigSet {
    [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP].into_iter().collect()
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignalRequest {
    /// Stop gracefully: SIGTERM or SIGINT.
    Stop,
    /// Read the settings again: SIGHUP.
    Reload,
}

/// The handlers that are in place before the runtime starts.
#[derive(Debug)]
pub(crate) struct EarlySignals {
    stop: Arc<AtomicBool>,
}

impl EarlySignals {
    /// Installs the handlers and unblocks their signals. Call it while the process has only one thread.
    ///
    /// # Errors
    /// If the system refuses a handler.
    pub(crate) fn catch() -> io::Result<Self> {
        let handled = handled_signals();
        // A signal that arrives while its handler is being registered would be lost.
        handled.thread_block()?;
        let stop = Arc::new(AtomicBool::new(false));
        for signal in [Signal::SIGTERM, Signal::SIGINT] {
            flag::register(signal as i32, Arc::clone(&stop))?;
        }
        // The settings have not been read yet, so there is nothing to reload.
        flag::register(Signal::SIGHUP as i32, Arc::default())?;
        handled.thread_unblock()?;
        Ok(Self { stop })
    }

    /// Receives the signals from now on in the current runtime. Call it before the settings are read.
    ///
    /// # Errors
    /// If the system refuses a handler.
    pub(crate) fn listen(self) -> io::Result<Signals> {
        Ok(Signals {
            stop: self.stop,
            terminate: unix::signal(SignalKind::terminate())?,
            interrupt: unix::signal(SignalKind::interrupt())?,
            hangup: unix::signal(SignalKind::hangup())?,
        })
    }
}

/// Receiver of the signals.
#[derive(Debug)]
pub(crate) struct Signals {
    stop: Arc<AtomicBool>,
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

impl Signals {
    /// Whether a signal to stop has arrived since the start of the process.
    pub(crate) fn stop_requested(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Waits for the next signal. A signal to stop that has already arrived counts.
    pub(crate) async fn next(&mut self) -> SignalRequest {
        if self.stop_requested() {
            return SignalRequest::Stop;
        }
        tokio::select! {
            _ = self.terminate.recv() => SignalRequest::Stop,
            _ = self.interrupt.recv() => SignalRequest::Stop,
            _ = self.hangup.recv() => SignalRequest::Reload,
        }
    }
}
