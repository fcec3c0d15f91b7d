//! Command line arguments.

use std::path::PathBuf;

use bpaf::{Bpaf, Parser, construct, long, positional};
use dahliaseam::{client::Target, command::Command, output::Output};
use dahliaseam_wire::resource::ResourceKind;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
/// Operate a dahliaseam deployment: declare resources and watch their state.
///
/// Exit codes: 0 success, 1 refused or invalid, 2 wrong usage, 3 no answer or unknown outcome, 4 timed out.
pub(crate) struct App {
    /// Output format: table or json
    #[bpaf(short, long, argument("FORMAT"), fallback(Output::Table))]
    pub(crate) output: Output,
    #[bpaf(external(target))]
    pub(crate) target: Target,
    #[bpaf(external(command))]
    pub(crate) command: Command,
}

fn target() -> impl Parser<Target> {
    let address = long("address")
        .short('a')
        .env("DAHLIASEAM_ADDRESS")
        .help("Operator address of a daemon, as IP:port")
        .argument::<String>("ADDRESS")
        .fallback("127.0.0.1:8081".to_owned());
    let token = long("token")
        .env("DAHLIASEAM_TOKEN")
        .help("Operator token")
        .argument::<String>("TOKEN")
        .fallback(String::new());
    construct!(Target { address, token })
}

fn kind() -> impl Parser<ResourceKind> {
    let known = || ResourceKind::ALL.iter().map(|kind| (kind.plural(), None)).collect::<Vec<_>>();
    positional::<String>("KIND")
        .help("Kind of resource: pools, models, adapters, versions, roles, kinds, endpoints or teams")
        .complete(move |_| known())
        .parse(|text| ResourceKind::from_name(&text).ok_or("expected a kind of resource, such as pools or endpoints"))
}

fn name() -> impl Parser<String> {
    positional::<String>("NAME").help("Name of the resource")
}

fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help("JSON file")
}

fn command() -> impl Parser<Command> {
    let get = {
        let (kind, name) = (kind(), name().optional());
        construct!(Command::Get { kind, name })
            .to_options()
            .descr("Show all resources of a kind, or one of them")
            .command("get")
    };
    let apply = {
        let file = file();
        construct!(Command::Apply { file })
            .to_options()
            .descr("Create or change all resources in a file, or none if one of them is refused")
            .command("apply")
    };
    let edit = {
        let set = long("set")
            .short('s')
            .help("Field of the spec to set, as PATH=VALUE; may be repeated")
            .argument::<String>("SET")
            .some("expected at least one --set");
        let (kind, name) = (kind(), name());
        construct!(Command::Edit { set, kind, name })
            .to_options()
            .descr("Set fields of one resource; fails with a conflict if somebody else changes it at the same time")
            .command("edit")
    };
    let delete = {
        let version =
            long("version").help("Delete only if this is the present version").argument::<u64>("N").optional();
        let (kind, name) = (kind(), name());
        construct!(Command::Delete { version, kind, name }).to_options().descr("Delete a resource").command("delete")
    };
    let watch = {
        let kind = kind();
        construct!(Command::Watch { kind })
            .to_options()
            .descr("Show resources of a kind as they change")
            .command("watch")
    };
    let explain = {
        let log = long("log")
            .help("Search the logs in FILE (- for standard input) instead of asking a daemon")
            .argument::<PathBuf>("FILE")
            .optional();
        let request = positional::<String>("REQUEST")
            .help("Identifier of the request, from the x-dahliaseam-request header of its answer");
        construct!(Command::Explain { log, request })
            .to_options()
            .descr("Show where a request was sent, why, and what happened to it")
            .command("explain")
    };
    let streams = {
        let log = long("log").help("Read the logs in FILE (- for standard input)").argument::<PathBuf>("FILE");
        construct!(Command::Streams { log })
            .to_options()
            .descr("Show how streams ended and how fast they were, by replica")
            .command("streams")
    };
    let drain = {
        let undo = long("undo").help("Put the endpoint back into service").switch();
        let wait_seconds =
            long("wait-seconds").help("Maximum time to wait, in seconds").argument::<u64>("N").fallback(60);
        let endpoint = positional::<String>("ENDPOINT").help("Name of the endpoint");
        construct!(Command::Drain { undo, wait_seconds, endpoint })
            .to_options()
            .descr("Take an endpoint out of service and wait until no request runs there")
            .command("drain")
    };
    let check = {
        let file = file();
        construct!(Command::Check { file })
            .to_options()
            .descr("Check a settings or resource file without contacting a daemon")
            .command("check")
    };
    let status = bpaf::pure(Command::Status).to_options().descr("Show the state of every daemon").command("status");
    construct!([get, apply, edit, delete, watch, explain, streams, drain, check, status])
}
