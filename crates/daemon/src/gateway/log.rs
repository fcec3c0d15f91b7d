//! Log lines on standard output: writing never blocks, and dropped lines are counted.

use std::io::stdout;

use dahliaseam_settings::{
    error::SettingsError,
    settings::{LogFormat, LogSettings},
};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, Layer, layer::SubscriberExt, util::SubscriberInitExt};

use crate::error::StartError;

/// Number of lines that may wait for the writer: some seconds at the usual load, about a megabyte.
const MAX_QUEUED_LINES: usize = 4_096;

/// Keeps the log writer running.
#[derive(Debug)]
pub struct Log {
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

impl Log {
    /// Sets up logging according to the settings.
    ///
    /// # Errors
    /// Why logging cannot be set up.
    pub fn start(settings: &LogSettings) -> Result<Self, StartError> {
        let (writer, guard) =
            NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES).finish(stdout());
        let dropped = writer.error_counter();
        let filter = EnvFilter::try_new(&settings.filter)
            .map_err(|e| SettingsError::Value("log.filter".to_owned(), e.to_string()))?;
        let layer = tracing_subscriber::fmt::layer().with_writer(writer);
        let lines = match settings.format {
            LogFormat::Json => layer.json().flatten_event(true).with_target(false).boxed(),
            LogFormat::Text => layer.with_target(false).boxed(),
        };
        tracing_subscriber::registry()
            .with(lines.with_filter(filter))
            .try_init()
            .map_err(|e| StartError::Telemetry(e.to_string()))?;
        Ok(Self { dropped, _writer: guard })
    }

    /// Counter of the lines that were dropped because too many were waiting.
    #[must_use]
    pub fn dropped(&self) -> ErrorCounter {
        self.dropped.clone()
    }
}
