//! The daemon's process: settings, logs and signals.

mod app;
mod routes;

use std::process::ExitCode;

use dahliaseam_settings::settings::Settings;
use dahliaseamd::{
    controller::{Controller, Dependencies},
    error::{StartError, report},
    telemetry::Telemetry,
};
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let app = app::app().run();
    let result = if app.routes { routes::run(&app) } else { run(&app) };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            report(&error);
            ExitCode::from(2)
        }
    }
}

fn run(app: &app::App) -> Result<(), StartError> {
    if app.check {
        Settings::load(&app.settings)?;
        println!("{}: the settings are valid", app.settings.display());
        return Ok(());
    }
    let runtime = tokio::runtime::Runtime::new().map_err(|e| StartError::Telemetry(e.to_string()))?;
    runtime.block_on(serve(app))
}

async fn serve(app: &app::App) -> Result<(), StartError> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| StartError::Telemetry(e.to_string()))?;
    let settings = Settings::load(&app.settings)?;
    let telemetry = Telemetry::start(&settings)?;
    let deps = Dependencies::real(&settings);
    let daemon = Controller::start(settings, deps).await?;
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
        () = daemon.leave_requested() => {}
    }
    daemon.stop().await;
    telemetry.flush();
    Ok(())
}
