//! The command line.

use std::path::PathBuf;

use bpaf::{Bpaf, Parser, construct, long, positional};
use dahliaseam::{client::Target, command::Command, output::Output};
use dahliaseam_wire::resource::ResourceKind;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
/// Drive a dahliaseam deployment: declare what you want and watch the state change.
///
/// Exit codes: 0 done, 1 refused, 2 wrong usage, 3 no answer or not known, 4 not in time.
pub(crate) struct App {
    /// How results are shown: table or json
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
        .help("IP:port of a daemon's operator address")
        .argument::<String>("ADDRESS")
        .fallback("127.0.0.1:8081".to_owned());
    let token = long("token")
        .env("DAHLIASEAM_TOKEN")
        .help("the operators' token")
        .argument::<String>("TOKEN")
        .fallback(String::new());
    construct!(Target { address, token })
}

fn kind() -> impl Parser<ResourceKind> {
    let known = || ResourceKind::ALL.iter().map(|kind| (kind.plural(), None)).collect::<Vec<_>>();
    positional::<String>("KIND")
        .help("pools, models, adapters, versions, roles, kinds, endpoints or teams")
        .complete(move |_| known())
        .parse(|text| ResourceKind::from_name(&text).ok_or("expected a kind of resource, such as pools or endpoints"))
}

fn name() -> impl Parser<String> {
    positional::<String>("NAME").help("the resource's name")
}

fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help("a JSON file")
}

fn command() -> impl Parser<Command> {
    let get = {
        let (kind, name) = (kind(), name().optional());
        construct!(Command::Get { kind, name }).to_options().descr("Show resources of a kind, or one").command("get")
    };
    let apply = {
        let file = file();
        construct!(Command::Apply { file })
            .to_options()
            .descr("Make a file's resources hold, all of them or none")
            .command("apply")
    };
    let edit = {
        let set = long("set")
            .short('s')
            .help("PATH=VALUE within the spec")
            .argument::<String>("SET")
            .some("name a change with --set");
        let (kind, name) = (kind(), name());
        construct!(Command::Edit { set, kind, name })
            .to_options()
            .descr("Change fields of one resource; a racing change is a conflict")
            .command("edit")
    };
    let delete = {
        let version = long("version").help("refuse unless this is the present version").argument::<u64>("N").optional();
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
            .help("read it from the logs in FILE, or from standard input for -")
            .argument::<PathBuf>("FILE")
            .optional();
        let request = positional::<String>("REQUEST").help("the identifier from an answer's x-dahliaseam-request");
        construct!(Command::Explain { log, request })
            .to_options()
            .descr("Show where a request went, why, and what happened to it")
            .command("explain")
    };
    let streams = {
        let log = long("log").help("the logs in FILE, or of standard input for -").argument::<PathBuf>("FILE");
        construct!(Command::Streams { log })
            .to_options()
            .descr("Show how streams ended and at what pace, by replica")
            .command("streams")
    };
    let drain = {
        let undo = long("undo").help("put the endpoint back into service").switch();
        let wait_seconds = long("wait-seconds").help("how long to wait").argument::<u64>("N").fallback(60);
        let endpoint = positional::<String>("ENDPOINT").help("the endpoint's name");
        construct!(Command::Drain { undo, wait_seconds, endpoint })
            .to_options()
            .descr("Take an endpoint out of service and wait until it is empty")
            .command("drain")
    };
    let check = {
        let file = file();
        construct!(Command::Check { file })
            .to_options()
            .descr("Check a settings or resource file, without any daemon")
            .command("check")
    };
    let status = bpaf::pure(Command::Status).to_options().descr("Show the state of every daemon").command("status");
    construct!([get, apply, edit, delete, watch, explain, streams, drain, check, status])
}
