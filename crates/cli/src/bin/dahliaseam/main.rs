//! The command by which operators control a deployment.

mod app;

use std::{io::stdout, process::ExitCode};

use dahliaseam::{
    command,
    error::{USAGE, print_error},
};

/// Maximum width of help texts, in columns.
const HELP_WIDTH: usize = 100;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let app = match app::app().run_inner(bpaf::Args::current_args()) {
        Ok(app) => app,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            return if failure.exit_code() == 0 { ExitCode::SUCCESS } else { ExitCode::from(USAGE) };
        }
    };
    match command::run(app.command, app.target, app.output, &mut stdout().lock()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error(&error);
            ExitCode::from(error.exit_code())
        }
    }
}
