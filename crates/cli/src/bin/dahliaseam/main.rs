//! The operators' command.

mod app;

use std::{io::stdout, process::ExitCode};

use dahliaseam::{command, error::report};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let app = app::app().run();
    match command::run(app.command, app.target, app.output, &mut stdout().lock()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            report(&error);
            ExitCode::from(error.exit_code())
        }
    }
}
