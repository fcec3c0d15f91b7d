//! Runs the model engine stand-in as a process.

use std::path::PathBuf;

use bpaf::Bpaf;
use dahliaseam_core::{custody::Fencing, endpoint::Role};
use stand_ins::{
    engine::{EngineSetup, EngineStandIn},
    history::History,
    model::ModelParams,
};

/// Model engine on a loopback address.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// IP:port to listen on; port 0 selects a free one
    #[bpaf(argument("ADDRESS"), fallback("127.0.0.1:0".to_owned()))]
    address: String,
    /// Name of this process in the history
    #[bpaf(argument("NAME"), fallback("engine".to_owned()))]
    name: String,
    /// Initial role: prefill, decode or mixed
    #[bpaf(argument::<String>("ROLE"), parse(|text| serde_json::from_value::<Role>(text.into())), fallback(Role::Mixed))]
    role: Role,
    /// Reject orders with an old fencing number
    checks: bool,
    /// JSON file with the parameters of the engine model
    #[bpaf(argument("FILE"))]
    params: Option<PathBuf>,
    /// File to append the history to
    #[bpaf(argument("FILE"))]
    history: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = options().run();
    let params = match &args.params {
        Some(path) => serde_json::from_slice(&std::fs::read(path)?)?,
        None => ModelParams::default(),
    };
    let history = match &args.history {
        Some(path) => History::to_file(&args.name, path)?,
        None => History::in_memory(&args.name),
    };
    let fencing = if args.checks { Fencing::Checks } else { Fencing::Ignores };
    let setup = EngineSetup { address: args.address, role: args.role, fencing, params, history };
    let server = EngineStandIn::start(setup).await?;
    println!("listening {}", server.server().address());
    server.serve_forever().await;
    Ok(())
}
