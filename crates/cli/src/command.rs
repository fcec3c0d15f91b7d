//! Implementation of the subcommands.

use std::{
    fmt::Display,
    io::Write,
    path::{Path, PathBuf},
    time::Duration,
};

use dahliaseam_settings::{gateway::GatewaySettings, settings::Settings};
use dahliaseam_wire::{
    error::from_json,
    operator::{Accepted, ApplyBody, DeploymentStatus, PutBody, RequestRecord, Resource, ResourceList, WatchEvent},
    resource::{Change, ChangeRefusal, Document, ResourceKind},
};
use http::Method;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::{Value, json};

use crate::{
    client::{Client, Target},
    error::CommandError,
    log,
    output::Output,
    patch, streams,
};

/// Interval between checks whether an endpoint is still running requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// A subcommand with its arguments.
#[derive(Clone, Debug)]
pub enum Command {
    /// Show all resources of a kind, or one of them.
    Get {
        /// Kind of resource.
        kind: ResourceKind,
        /// Name of the resource; `None` for all of the kind.
        name: Option<String>,
    },
    /// Create or change all resources in a file, or none if one of them is refused.
    Apply {
        /// Path of the file.
        file: PathBuf,
    },
    /// Set fields of one resource.
    Edit {
        /// Kind of resource.
        kind: ResourceKind,
        /// Name of the resource.
        name: String,
        /// Assignments of the form `path=value`.
        set: Vec<String>,
    },
    /// Delete a resource.
    Delete {
        /// Kind of resource.
        kind: ResourceKind,
        /// Name of the resource.
        name: String,
        /// Version that must be the present one; `None` for any.
        version: Option<u64>,
    },
    /// Show resources of a kind as they change.
    Watch {
        /// Kind of resource.
        kind: ResourceKind,
    },
    /// Show where a request was sent, why, and what happened to it.
    Explain {
        /// Identifier of the request.
        request: String,
        /// Log file to search instead of asking a daemon; `-` for standard input.
        log: Option<PathBuf>,
    },
    /// Show how streams ended and how fast they were, by replica.
    Streams {
        /// Log file to read; `-` for standard input.
        log: PathBuf,
    },
    /// Take an endpoint out of service and wait until no request runs there.
    Drain {
        /// Name of the endpoint.
        endpoint: String,
        /// Whether to put it back into service instead.
        undo: bool,
        /// Maximum time to wait, in seconds.
        wait_seconds: u64,
    },
    /// Check a settings or resource file without contacting a daemon.
    Check {
        /// Path of the file.
        file: PathBuf,
    },
    /// Show the state of every daemon.
    Status,
}

/// Executes a command and writes its output to `out`.
///
/// # Errors
/// Returns why the command failed.
pub async fn run(command: Command, target: Target, output: Output, out: &mut impl Write) -> Result<(), CommandError> {
    let client = Client::new(target);
    let text = match command {
        Command::Get { kind, name: None } => {
            let list: ResourceList = client.get(&format!("/v1/{}", kind.plural())).await?;
            output.text(&list.items)
        }
        Command::Get { kind, name: Some(name) } => output.text(&get_resource(&client, kind, &name).await?),
        Command::Apply { file } => {
            let body = read_resources(&file)?;
            accepted_text(client.call(Method::POST, "/v1/apply", Some(&body)).await?)
        }
        Command::Edit { kind, name, set } => accepted_text(edit(&client, kind, &name, &set).await?),
        Command::Delete { kind, name, version } => {
            let query = version.map(|v| format!("?resource_version={v}")).unwrap_or_default();
            let path = format!("{}{query}", resource_path(kind, &name));
            accepted_text(client.call::<(), _>(Method::DELETE, &path, None).await?)
        }
        Command::Watch { kind } => return watch(&client, kind, output, out).await,
        Command::Explain { request, log: Some(file) } => log::explain(&file, &request)?,
        Command::Explain { request, log: None } => {
            output.text(&client.get::<RequestRecord>(&format!("/v1/requests/{}", encode(&request))).await?)
        }
        Command::Streams { log } => streams::table(&log)?,
        Command::Drain { endpoint, undo, wait_seconds } => drain(&client, &endpoint, undo, wait_seconds).await?,
        Command::Check { file } => check(&file)?,
        Command::Status => output.text(&client.get::<DeploymentStatus>("/v1/status").await?),
    };
    // A closed pipe, for example after `head` has exited, is not an error of the command.
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    Ok(())
}

/// Path of a resource, whose name may contain any character.
fn resource_path(kind: ResourceKind, name: &str) -> String {
    format!("/v1/{}/{}", kind.plural(), encode(name))
}

/// Encodes one segment of a path.
fn encode(segment: &str) -> impl Display {
    utf8_percent_encode(segment, NON_ALPHANUMERIC)
}

async fn get_resource(client: &Client, kind: ResourceKind, name: &str) -> Result<Resource, CommandError> {
    client.get(&resource_path(kind, name)).await
}

fn accepted_text(accepted: Accepted) -> String {
    format!("accepted as generation {}\n", accepted.generation)
}

async fn edit(client: &Client, kind: ResourceKind, name: &str, set: &[String]) -> Result<Accepted, CommandError> {
    let resource = get_resource(client, kind, name).await?;
    let mut spec = resource.spec;
    for assignment in set {
        patch::set(&mut spec, assignment)?;
    }
    // With the version that was read, a concurrent change is a conflict; without it, that change would be overwritten.
    let body = PutBody { resource_version: Some(resource.resource_version), spec };
    client.call(Method::PUT, &resource_path(kind, name), Some(&json!(body_value(&body)))).await
}

fn body_value(body: &PutBody) -> Value {
    json!({ "resource_version": body.resource_version, "spec": body.spec })
}

async fn watch(client: &Client, kind: ResourceKind, output: Output, out: &mut impl Write) -> Result<(), CommandError> {
    let mut lines = client.lines(&format!("/v1/{}?watch=true", kind.plural())).await?;
    while let Some(line) = lines.next().await? {
        let event: WatchEvent = serde_json::from_slice(&line).map_err(|e| CommandError::Answer(e.to_string()))?;
        if writeln!(out, "{}", output.line(&event)).and_then(|()| out.flush()).is_err() {
            return Ok(());
        }
    }
    Ok(())
}

async fn drain(client: &Client, endpoint: &str, undo: bool, wait_seconds: u64) -> Result<String, CommandError> {
    let set = [format!("drained={}", !undo)];
    let accepted = edit(client, ResourceKind::Endpoint, endpoint, &set).await?;
    if undo {
        return Ok(format!("{endpoint} is back in service as of generation {}\n", accepted.generation));
    }
    let deadline = tokio::time::Instant::now() + Duration::from_secs(wait_seconds);
    while tokio::time::Instant::now() < deadline {
        let resource = get_resource(client, ResourceKind::Endpoint, endpoint).await?;
        let count = |pointer: &str| resource.status.pointer(pointer).and_then(Value::as_u64);
        let closed = resource.status.get("open") == Some(&Value::Bool(false));
        let empty = count("/in_flight") == Some(0) && count("/load/running") == Some(0);
        if closed && empty {
            return Ok(format!("{endpoint} is drained as of generation {}\n", accepted.generation));
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    Err(CommandError::TimedOut(format!("{endpoint} is marked as drained, but still accepts new requests or runs some")))
}

fn read_resources(file: &Path) -> Result<ApplyBody, CommandError> {
    let text = std::fs::read(file).map_err(|e| CommandError::Read(file.to_owned(), e))?;
    from_json(&text).map_err(|e| CommandError::Parse(file.to_owned(), e))
}

fn check(file: &Path) -> Result<String, CommandError> {
    let text = std::fs::read(file).map_err(|e| CommandError::Read(file.to_owned(), e))?;
    let value: Value = from_json(&text).map_err(|e| CommandError::Parse(file.to_owned(), e))?;
    if value.get("resources").is_none() {
        if value.get("store_address").is_some() {
            GatewaySettings::load(file)?;
        } else {
            Settings::load(file)?;
        }
        return Ok(format!("{}: the settings are valid\n", file.display()));
    }
    let body = read_resources(file)?;
    let count = body.resources.len();
    let changes: Vec<_> = body
        .resources
        .into_iter()
        .map(|r| Change { kind: r.kind, name: r.name, based_on: None, spec: Some(r.spec) })
        .collect();
    match Document::default().with_changes(&changes, "check") {
        Ok(_) => Ok(format!("{}: {count} resources are valid\n", file.display())),
        Err(ChangeRefusal::Invalid(problems)) => Err(CommandError::Invalid(file.to_owned(), problems)),
        Err(_) => Err(CommandError::Usage("a resource is listed twice".to_owned())),
    }
}
