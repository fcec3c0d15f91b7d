//! The daemon's process: settings, logs and signals.

mod app;
mod routes;
mod signals;

use std::process::ExitCode;

use dahliaseam_settings::settings::Settings;
use dahliaseamd::{
    controller::{Controller, Dependencies},
    emit,
    error::{StartError, report},
    telemetry::Telemetry,
};
use signals::{EarlySignals, SignalRequest};

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            report(&error);
            ExitCode::from(2)
        }
    }
}

fn start() -> Result<(), StartError> {
    // First of all, since a signal that is not caught ends the process.
    let signals = EarlySignals::catch().map_err(StartError::Signals)?;
    let app = app::app().run();
    if app.routes { routes::run(&app, signals) } else { run(&app, signals) }
}

fn run(app: &app::App, signals: EarlySignals) -> Result<(), StartError> {
    if app.check {
        Settings::load(&app.settings)?;
        println!("{}: the settings are valid", app.settings.display());
        return Ok(());
    }
    let runtime = tokio::runtime::Runtime::new().map_err(|e| StartError::Telemetry(e.to_string()))?;
    runtime.block_on(serve(app, signals))
}

async fn serve(app: &app::App, signals: EarlySignals) -> Result<(), StartError> {
    let mut signals = signals.listen().map_err(StartError::Signals)?;
    let settings = Settings::load(&app.settings)?;
    let telemetry = Telemetry::start(&settings)?;
    if signals.stop_requested() {
        emit!(info, STOPPED, why = "asked to stop before the start");
        telemetry.flush();
        return Ok(());
    }
    let deps = Dependencies::real(&settings);
    let daemon = Controller::start(settings, deps).await?;
    loop {
        tokio::select! {
            request = signals.next() => match request {
                SignalRequest::Stop => break,
                SignalRequest::Reload => emit!(warn, RELOAD_IGNORED),
            },
            () = daemon.leave_requested() => break,
        }
    }
    daemon.stop().await;
    telemetry.flush();
    Ok(())
}
