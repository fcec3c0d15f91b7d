//! Runs a daemon that takes its routes and replicas from the platform's store.

use std::{
    path::Path,
    sync::Arc,
    time::{Duration, SystemTime},
};

use dahliaseam_border::dialer::TcpDialer;
use dahliaseam_platform::{dialect::PlatformDialect, store::Store};
use dahliaseam_settings::gateway::GatewaySettings;
use dahliaseamd::{
    clock::BootClock,
    emit,
    error::StartError,
    gateway::controller::{Dependencies, GatewayController, Log},
};

use crate::{
    app::App,
    signals::{EarlySignals, SignalRequest},
};

/// Interval at which the settings file is checked for changes, in case it was written without a SIGHUP.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Runs the daemon until it is told to stop.
///
/// # Errors
/// Why the daemon cannot start.
pub(crate) fn run(app: &App, signals: EarlySignals) -> Result<(), StartError> {
    if app.check {
        GatewaySettings::load(&app.settings)?;
        println!("{}: the settings are valid", app.settings.display());
        return Ok(());
    }
    // A VM has less than one core, so more threads would only wake each other.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| StartError::Telemetry(e.to_string()))?;
    runtime.block_on(serve(app, signals))
}

async fn serve(app: &App, signals: EarlySignals) -> Result<(), StartError> {
    let mut signals = signals.listen().map_err(StartError::Signals)?;
    let settings = GatewaySettings::load(&app.settings)?;
    let log = Log::start(&settings.log)?;
    if signals.stop_requested() {
        emit!(info, STOPPED, vm = settings.vm, why = "asked to stop before the start");
        return Ok(());
    }
    let store = Arc::new(Store::new(&settings.store_address.to_string()));
    let deps = Dependencies {
        clock: Arc::new(BootClock),
        kv: Arc::clone(&store) as _,
        feed: store,
        dialer: Arc::new(TcpDialer { source: settings.source_address }),
        dialect: Arc::new(PlatformDialect),
        dropped_lines: Some(log.dropped()),
    };
    let daemon = GatewayController::start(settings, deps).await?;
    let mut loaded_version = FileVersion::of(&app.settings);
    loop {
        tokio::select! {
            request = signals.next() => if request == SignalRequest::Stop {
                break;
            },
            () = tokio::time::sleep(FILE_CHECK_INTERVAL) => {
                if FileVersion::of(&app.settings) == loaded_version {
                    continue;
                }
            }
        }
        loaded_version = FileVersion::of(&app.settings);
        reload(app, &daemon);
    }
    daemon.stop().await;
    Ok(())
}

/// Modification time and size of a file, to detect that it was written again; none while it does not exist.
#[derive(Debug, PartialEq, Eq)]
struct FileVersion(Option<(SystemTime, u64)>);

impl FileVersion {
    fn of(file: &Path) -> Self {
        let version = std::fs::metadata(file).and_then(|metadata| Ok((metadata.modified()?, metadata.len())));
        Self(version.ok())
    }
}

/// Reads the settings again. A file that cannot be used changes nothing.
fn reload(app: &App, daemon: &GatewayController) {
    match GatewaySettings::load(&app.settings) {
        Ok(settings) => daemon.reload(settings),
        Err(e) => emit!(error, SETTINGS_REJECTED, why = %e),
    }
}
