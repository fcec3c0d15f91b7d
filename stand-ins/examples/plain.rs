//! Runs the plain service stand-in as a process.

use std::path::PathBuf;

use bpaf::Bpaf;
use stand_ins::{
    history::History,
    plain::{Plain, PlainSetup},
};

/// Plain service on a loopback address.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// IP:port to listen on; port 0 selects a free one
    #[bpaf(argument("ADDRESS"), fallback("127.0.0.1:0".to_owned()))]
    address: String,
    /// Name of this process in the history
    #[bpaf(argument("NAME"), fallback("plain".to_owned()))]
    name: String,
    /// Duration of a call, in milliseconds
    #[bpaf(argument("MS"), fallback(5))]
    work_ms: u64,
    /// File to append the history to
    #[bpaf(argument("FILE"))]
    history: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = options().run();
    let history = match &args.history {
        Some(path) => History::to_file(&args.name, path)?,
        None => History::in_memory(&args.name),
    };
    let setup = PlainSetup { address: args.address, work_ms: args.work_ms, history };
    let server = Plain::start(setup).await?;
    println!("listening {}", server.server().address());
    server.serve_forever().await;
    Ok(())
}
