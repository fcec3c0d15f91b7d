//! The operators' command.

mod app;

use std::{io::stdout, process::ExitCode};

use dahliaseam::{
    command,
    error::{USAGE, report},
};

/// Columns that help texts take.
const WIDTH: usize = 100;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let app = match app::app().run_inner(bpaf::Args::current_args()) {
        Ok(app) => app,
        Err(failure) => {
            failure.print_message(WIDTH);
            return if failure.exit_code() == 0 { ExitCode::SUCCESS } else { ExitCode::from(USAGE) };
        }
    };
    match command::run(app.command, app.target, app.output, &mut stdout().lock()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            report(&error);
            ExitCode::from(error.exit_code())
        }
    }
}
