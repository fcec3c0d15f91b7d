//! A cluster on loopback, with a separate process for each daemon, endpoint and platform service.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
    process::Command,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use dahliaseam_border::{
    error::CallError,
    http::{HttpClient, Reuse},
};
use dahliaseam_core::{
    custody::{EngineStatus, Fencing},
    endpoint::Role,
};
use dahliaseam_wire::{
    engine::{STATUS_PATH, StatusReport as EngineReport},
    operator::{Accepted, DeploymentStatus, ResourceList},
};
use http::{Request, StatusCode, header::AUTHORIZATION};
use http_body_util::Full;
use serde_json::{Value, json};
use stand_ins::{
    caller::Caller,
    history::{Entry, History, read},
    model::ModelParams,
    relay::{Link, Relay},
    serve::free_address,
    vms::VmList,
};

use crate::process::{Process, program};

/// Operator token used by all tests.
pub const OPERATOR_TOKEN: &str = "operators-token-of-tests";
/// Secret shared by the daemons in all tests.
pub const PEER_SECRET: &str = "daemons-secret-of-tests";
/// Timeout of a call to a daemon or a stand-in.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time that a test waits for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum time that a caller waits for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(40);

/// Processes of a cluster and their settings.
#[derive(Clone, Debug)]
pub struct ClusterSetup {
    /// Number of entry VMs, each with a daemon.
    pub daemons: usize,
    /// Role and fencing of each engine.
    pub engines: Vec<(Role, Fencing)>,
    /// Number of plain services.
    pub plain_services: usize,
    /// Parameters of the model of each engine.
    pub params: ModelParams,
    /// Time that a plain service takes for a request, in milliseconds.
    pub work_ms: u64,
    /// Daemon settings that override those of [`Cluster::add_daemon`].
    pub settings: Value,
    /// Whether each daemon reaches the platform and its peers through relays, which tests can cut.
    pub links: bool,
}

impl Default for ClusterSetup {
    fn default() -> Self {
        Self {
            daemons: 2,
            engines: vec![(Role::Mixed, Fencing::Checks), (Role::Mixed, Fencing::Checks)],
            plain_services: 2,
            params: ModelParams {
                step: 0.004,
                change_seconds: 0.6,
                report_lag: 0.1,
                cache_lag: 0.2,
                ..ModelParams::default()
            },
            work_ms: 5,
            settings: json!({}),
            links: false,
        }
    }
}

/// Daemon of a cluster.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Process, if it is running.
    pub process: Option<Process>,
    /// Address for callers.
    pub caller_address: String,
    /// Address for operators.
    pub operator_address: String,
    /// Address for other daemons.
    pub peer_address: String,
    settings: Value,
}

/// Endpoint of a cluster.
#[derive(Debug)]
pub struct EndpointProcess {
    /// Process, if it is running.
    pub process: Option<Process>,
    /// Address it listens on.
    pub address: String,
    command: Vec<String>,
}

/// Relays through which one daemon reaches the platform and its peers.
#[derive(Debug)]
struct Links {
    kv: Relay,
    vm_list: Relay,
    /// VM list of this daemon alone, in which the address of each peer is that of its relay.
    vm_list_server: VmList,
    peers: BTreeMap<String, Relay>,
}

/// Running cluster.
#[derive(Debug)]
pub struct Cluster {
    /// Address of the key-value service itself, without a relay.
    pub kv_address: String,
    /// Address of the platform's VM list.
    pub vm_list_address: String,
    /// Daemons by VM.
    pub daemons: BTreeMap<String, DaemonProcess>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<String, EndpointProcess>,
    /// Setup from which it was started.
    pub setup: ClusterSetup,
    links: BTreeMap<String, Links>,
    client: HttpClient,
    dir: PathBuf,
    _platform: Vec<Process>,
}

static NEXT_DIR: AtomicU64 = AtomicU64::new(0);

fn create_dir() -> PathBuf {
    let n = NEXT_DIR.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("dahliaseam-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the test's directory can be created");
    dir
}

impl Cluster {
    /// Starts all processes and waits until each daemon is ready.
    ///
    /// # Panics
    /// If a daemon is not ready in time.
    pub async fn start(setup: ClusterSetup) -> Self {
        let mut cluster = Self::start_platform(setup);
        if cluster.setup.links {
            cluster.start_relays().await;
        }
        cluster.set_vm_list(&[]).await;
        for vm in cluster.daemons.keys().cloned().collect::<Vec<_>>() {
            cluster.start_daemon(&vm);
        }
        let resources = cluster.resources();
        cluster.apply_until_accepted(&resources).await;
        cluster.wait_until_ready().await;
        cluster
    }

    /// Starts the platform services and the endpoints, but no daemon.
    ///
    /// # Panics
    /// If a stand-in does not start.
    #[must_use]
    pub fn start_platform(setup: ClusterSetup) -> Self {
        let dir = create_dir();
        let (kv_process, kv_address) = Process::start_stand_in(&mut Command::new(program("examples/kv")));
        let (vms_process, vm_list_address) = Process::start_stand_in(&mut Command::new(program("examples/vms")));
        let mut cluster = Self {
            kv_address,
            vm_list_address,
            daemons: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            links: BTreeMap::new(),
            client: HttpClient::new(Reuse::Fresh),
            dir,
            _platform: vec![kv_process, vms_process],
            setup,
        };
        cluster.start_endpoints();
        for n in 1..=cluster.setup.daemons {
            cluster.add_daemon(&format!("entry-{n}"), &format!("hall-{}", n % 3));
        }
        cluster
    }

    fn start_endpoints(&mut self) {
        let params = self.dir.join("params.json");
        let text = serde_json::to_string(&self.setup.params).expect("parameters can be serialized");
        std::fs::write(&params, text).expect("the directory is writable");
        for (n, (role, fencing)) in self.setup.engines.clone().into_iter().enumerate() {
            let role = serde_json::to_value(role).expect("a role can be serialized");
            let mut args = vec!["--role".to_owned(), role.as_str().unwrap_or_default().to_owned()];
            args.extend(["--params".to_owned(), params.display().to_string()]);
            if fencing == Fencing::Checks {
                args.push("--checks".to_owned());
            }
            self.start_endpoint("engine", &format!("engine-{}", n + 1), args);
        }
        for n in 1..=self.setup.plain_services {
            let args = vec!["--work-ms".to_owned(), self.setup.work_ms.to_string()];
            self.start_endpoint("plain", &format!("plain-{n}"), args);
        }
    }

    fn start_endpoint(&mut self, example: &str, name: &str, mut args: Vec<String>) {
        let history = self.history_path(name);
        args.extend(["--name".into(), name.into(), "--history".into(), history.display().to_string()]);
        let mut command = vec![program(&format!("examples/{example}")).display().to_string()];
        command.extend(args);
        let (process, address) = Process::start_stand_in(Command::new(&command[0]).args(&command[1..]));
        self.endpoints.insert(name.to_owned(), EndpointProcess { process: Some(process), address, command });
    }

    /// Restarts a killed endpoint at its address.
    ///
    /// # Panics
    /// If there is no such endpoint.
    pub fn restart_endpoint(&mut self, name: &str) {
        let endpoint = self.endpoints.get_mut(name).expect("the endpoint exists");
        let mut command = Command::new(&endpoint.command[0]);
        command.args(&endpoint.command[1..]).args(["--address", &endpoint.address]);
        let (process, _) = Process::start_stand_in(&mut command);
        endpoint.process = Some(process);
    }

    /// Adds an entry VM without starting its daemon.
    pub fn add_daemon(&mut self, vm: &str, hall: &str) {
        let (caller_address, operator_address, peer_address) = (free_address(), free_address(), free_address());
        let mut settings = json!({
            "vm": vm, "hall": hall, "keyspace": "/proof/",
            "caller_address": caller_address, "operator_address": operator_address, "peer_address": peer_address,
            "kv_address": self.kv_address, "vm_list_address": self.vm_list_address,
            "peer_secret": PEER_SECRET, "operator_token": OPERATOR_TOKEN,
            "timing": {
                "probe_ms": 60, "peer_call_ms": 400, "suspicion_ms": 600, "list_ms": 100, "list_lag_ms": 1500,
                "observe_ms": 100, "confirm_ms": 1500, "lease_ms": 2000, "control_ms": 50, "stop_grace_ms": 300,
            },
            "policy": { "stall_ms": 1500 },
            "log": { "format": "text", "filter": "info" },
        });
        merge(&mut settings, &self.setup.settings);
        let daemon = DaemonProcess { process: None, caller_address, operator_address, peer_address, settings };
        self.daemons.insert(vm.to_owned(), daemon);
    }

    /// Changes the settings of a daemon; takes effect at its next start.
    ///
    /// # Panics
    /// If there is no such daemon.
    pub fn merge_settings(&mut self, vm: &str, settings: &Value) {
        merge(&mut self.daemons.get_mut(vm).expect("the daemon exists").settings, settings);
    }

    /// Starts or restarts a daemon.
    ///
    /// # Panics
    /// If there is no such daemon.
    pub fn start_daemon(&mut self, vm: &str) {
        self.start_daemon_by(vm, Process::start);
    }

    /// Starts or restarts a daemon by `start`.
    ///
    /// # Panics
    /// If there is no such daemon.
    pub fn start_daemon_by(&mut self, vm: &str, start: impl FnOnce(&mut Command) -> Process) {
        let path = self.dir.join(format!("{vm}.json"));
        let log = self.dir.join(format!("{vm}.log"));
        let daemon = self.daemons.get_mut(vm).expect("the daemon exists");
        std::fs::write(&path, daemon.settings.to_string()).expect("the directory is writable");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).expect("the log file can be opened");
        let mut command = Command::new(program("dahliaseamd"));
        command.arg("--settings").arg(&path).stderr(log);
        daemon.process = Some(start(&mut command));
    }

    /// Returns the process of a daemon.
    ///
    /// # Panics
    /// If it is not running.
    pub fn daemon(&mut self, vm: &str) -> &mut Process {
        let daemon = self.daemons.get_mut(vm).expect("the daemon exists");
        daemon.process.as_mut().expect("the daemon is running")
    }

    /// Kills a daemon.
    pub fn kill_daemon(&mut self, vm: &str) {
        self.daemon(vm).kill();
        if let Some(daemon) = self.daemons.get_mut(vm) {
            daemon.process = None;
        }
    }

    /// Returns the addresses of the daemons for callers.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<String> {
        self.daemons.values().map(|d| d.caller_address.clone()).collect()
    }

    /// Returns a caller that records its history under `name`.
    ///
    /// # Panics
    /// If the history file cannot be opened.
    #[must_use]
    pub fn new_caller(&self, name: &str) -> Caller {
        let history = History::to_file(name, &self.history_path(name)).expect("the directory is writable");
        Caller::new(history, ANSWER_TIMEOUT)
    }

    /// Returns the events of all processes so far, ordered by time.
    ///
    /// # Panics
    /// If a history file cannot be read.
    #[must_use]
    pub fn history(&self) -> Vec<Entry> {
        let files = std::fs::read_dir(&self.dir).expect("the directory is readable");
        let paths = files.filter_map(|f| Some(f.ok()?.path()));
        let histories = paths.filter(|p| p.extension().is_some_and(|e| e == "history"));
        let mut all: Vec<_> = histories.flat_map(|p| read(&p).expect("the history file is readable")).collect();
        all.sort_by_key(|entry| entry.at);
        all
    }

    /// Returns the log of a daemon.
    #[must_use]
    pub fn log(&self, vm: &str) -> String {
        std::fs::read_to_string(self.dir.join(format!("{vm}.log"))).unwrap_or_default()
    }

    fn history_path(&self, name: &str) -> PathBuf {
        self.dir.join(format!("{name}.history"))
    }

    /// Returns the directory of this cluster's files.
    #[must_use]
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Starts separate relays from each daemon to the platform and to each of its peers.
    async fn start_relays(&mut self) {
        let vms: Vec<_> = self.daemons.keys().cloned().collect();
        for vm in &vms {
            let vm_list_server = VmList::start("127.0.0.1:0").await.expect("a free port is available");
            let vm_list = start_relay(&vm_list_server.server().address().to_string()).await;
            let kv = start_relay(&self.kv_address).await;
            let mut peers = BTreeMap::new();
            for other in vms.iter().filter(|other| *other != vm) {
                peers.insert(other.clone(), start_relay(&self.daemons[other].peer_address).await);
            }
            let addresses = json!({
                "kv_address": kv.address().to_string(), "vm_list_address": vm_list.address().to_string(),
            });
            self.merge_settings(vm, &addresses);
            self.links.insert(vm.clone(), Links { kv, vm_list, vm_list_server, peers });
        }
    }

    /// Sets the state of all links of a daemon: to the platform, and to and from its peers.
    pub fn set_daemon_links(&self, vm: &str, link: Link) {
        for (from, links) in &self.links {
            if from == vm {
                links.kv.set(link);
                links.vm_list.set(link);
            }
            for (to, relay) in &links.peers {
                if from == vm || to == vm {
                    relay.set(link);
                }
            }
        }
    }

    /// Sets the state of a daemon's link to the VM list only.
    pub fn set_vm_list_link(&self, vm: &str, link: Link) {
        self.links[vm].vm_list.set(link);
    }

    /// Puts the VMs of all daemons and endpoints on the VM list, those in `leaving` marked as leaving.
    pub async fn set_vm_list(&self, leaving: &[&str]) {
        let list = self.vm_list(leaving, |vm| self.daemons[vm].peer_address.clone());
        self.put_json(&format!("http://{}/vms", self.vm_list_address), &list).await;
        for links in self.links.values() {
            let address = |vm: &str| match links.peers.get(vm) {
                Some(relay) => relay.address().to_string(),
                None => self.daemons[vm].peer_address.clone(),
            };
            let url = format!("http://{}/vms", links.vm_list_server.server().address());
            self.put_json(&url, &self.vm_list(leaving, address)).await;
        }
    }

    fn vm_list(&self, leaving: &[&str], address: impl Fn(&str) -> String) -> Value {
        let entry = self.daemons.iter().map(|(vm, d)| {
            json!({ "vm": vm, "hall": d.settings["hall"], "address": address(vm), "part": "entry",
                "leaving": leaving.contains(&vm.as_str()) })
        });
        let endpoints = self.endpoints.keys().map(|name| {
            let vm = format!("vm-{name}");
            json!({ "vm": vm, "hall": "hall-0", "part": "endpoint", "leaving": leaving.contains(&vm.as_str()) })
        });
        Value::Array(entry.chain(endpoints).collect())
    }

    async fn put_json(&self, url: &str, value: &Value) {
        let req = Request::put(url)
            .header("content-type", "application/json")
            .body(Full::from(Bytes::from(value.to_string())))
            .expect("the request is valid");
        self.client.fetch(req, CALL_TIMEOUT).await.expect("the stand-in responds");
    }

    /// Injects a fault at a stand-in.
    ///
    /// # Panics
    /// If the stand-in does not accept it.
    pub async fn inject_fault(&self, address: &str, fault: &Value) {
        let body = Bytes::from(fault.to_string());
        let req = Request::post(format!("http://{address}/fault"))
            .header("content-type", "application/json")
            .body(Full::from(body))
            .expect("the request is valid");
        let (status, body) = self.client.fetch(req, CALL_TIMEOUT).await.expect("the stand-in responds");
        assert!(status.is_success(), "fault not accepted: {body:?}");
    }

    /// Injects a fault at an endpoint.
    pub async fn inject_endpoint_fault(&self, name: &str, fault: &Value) {
        self.inject_fault(&self.endpoints[name].address, fault).await;
    }

    /// Returns the resources of this cluster: those of the example deployment `fjordkjede`, its
    /// endpoints, and a protected kind that engines serve.
    ///
    /// # Panics
    /// If the committed file is invalid.
    #[must_use]
    pub fn resources(&self) -> Vec<Value> {
        let file = include_str!("../../deploy/fjordkjede/resources.json");
        let file: Value = serde_json::from_str(file).expect("the committed file is valid JSON");
        let mut resources = file["resources"].as_array().expect("the file has resources").clone();
        let engine_index = |name: &str| name.rsplit('-').next().and_then(|n| n.parse::<usize>().ok()).unwrap_or(1) - 1;
        for (name, endpoint) in &self.endpoints {
            let mut spec = json!({ "address": endpoint.address, "vm": format!("vm-{name}"), "hall": "hall-0" });
            if name.starts_with("engine") {
                let (role, fencing) = self.setup.engines[engine_index(name)];
                merge(&mut spec, &json!({ "pool": "catalogue", "role": role, "fencing": fencing }));
            } else {
                merge(&mut spec, &json!({ "pool": "till", "role": "plain" }));
            }
            resources.push(json!({ "kind": "endpoint", "name": name, "spec": spec }));
        }
        let protected = json!({
            "priority": 8, "weight": 4, "deadline_ms": 10_000, "repeatable": true, "protected": true,
        });
        resources.push(json!({ "kind": "kind", "name": "counter-answer", "spec": protected }));
        for resource in &mut resources {
            if resource["kind"] == "role" {
                // Tests change roles themselves, so the planner must not.
                resource["spec"]["planner"]["mode"] = json!("never");
            }
        }
        resources
    }

    /// Sends an operator's request.
    ///
    /// # Errors
    /// If there is no response.
    ///
    /// # Panics
    /// If the path is invalid.
    pub async fn operator_call(
        &self,
        vm: &str,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(StatusCode, Value), CallError> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.daemons[vm].operator_address))
            .header(AUTHORIZATION, format!("Bearer {OPERATOR_TOKEN}"))
            .body(Full::from(Bytes::from(body.map(Value::to_string).unwrap_or_default())))
            .expect("the request is valid");
        let (status, body) = self.client.fetch(req, CALL_TIMEOUT).await?;
        Ok((status, serde_json::from_slice(&body).unwrap_or_default()))
    }

    /// Applies resources through the first daemon, retrying until it accepts them. Returns the
    /// generation.
    ///
    /// # Panics
    /// If they are not accepted in time, or are refused as invalid.
    pub async fn apply_until_accepted(&self, resources: &[Value]) -> u64 {
        let vm = self.daemons.keys().next().expect("the cluster has a daemon").clone();
        let body = json!({ "resources": resources });
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let response = self.operator_call(&vm, "POST", "/v1/apply", Some(&body)).await;
            if let Ok((status, value)) = &response {
                if status.is_success() {
                    let accepted: Accepted =
                        serde_json::from_value(value.clone()).expect("the response is an accepted change");
                    return accepted.generation;
                }
                assert!(status.is_server_error(), "resources rejected: {value}");
            }
            assert!(Instant::now() < deadline, "resources not accepted in time: {response:?}\n{}", self.log(&vm));
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Merges `change` into the specification of a resource through `vm`. Returns the generation.
    ///
    /// # Panics
    /// If it is not accepted.
    pub async fn edit(&self, vm: &str, kind: &str, name: &str, change: &Value) -> u64 {
        let (_, resource) =
            self.operator_call(vm, "GET", &format!("/v1/{kind}/{name}"), None).await.expect("the daemon responds");
        let mut spec = resource["spec"].clone();
        merge(&mut spec, change);
        let body = json!({ "resource_version": resource["resource_version"], "spec": spec });
        let (status, value) = self
            .operator_call(vm, "PUT", &format!("/v1/{kind}/{name}"), Some(&body))
            .await
            .expect("the daemon responds");
        assert!(status.is_success(), "change rejected: {value}");
        value["generation"].as_u64().expect("the response has a generation")
    }

    /// Returns a resource as the daemon on `vm` reports it.
    pub async fn resource(&self, vm: &str, kind: &str, name: &str) -> Value {
        let response = self.operator_call(vm, "GET", &format!("/v1/{kind}/{name}"), None).await;
        response.map(|(_, value)| value).unwrap_or_default()
    }

    /// Returns all resources of a kind as the daemon on `vm` reports them.
    pub async fn resources_of_kind(&self, vm: &str, kind: &str) -> Option<ResourceList> {
        let (_, value) = self.operator_call(vm, "GET", &format!("/v1/{kind}"), None).await.ok()?;
        serde_json::from_value(value).ok()
    }

    /// Returns the status of the deployment, as reported by the daemon on `vm`.
    pub async fn status(&self, vm: &str) -> Option<DeploymentStatus> {
        let (_, value) = self.operator_call(vm, "GET", "/v1/status", None).await.ok()?;
        serde_json::from_value(value).ok()
    }

    /// Returns whether a daemon is ready.
    pub async fn is_ready(&self, vm: &str) -> bool {
        let response = self.operator_call(vm, "GET", "/readyz", None).await;
        response.is_ok_and(|(status, _)| status.is_success())
    }

    /// Waits until all running daemons are ready, know each other and have the same configuration.
    pub async fn wait_until_ready(&self) {
        let running: Vec<_> =
            self.daemons.iter().filter(|(_, d)| d.process.is_some()).map(|(vm, _)| vm.clone()).collect();
        for vm in &running {
            self.wait_until(&format!("{vm} is ready"), async || {
                let report = self.status(vm).await;
                self.is_ready(vm).await
                    && report.is_some_and(|r| {
                        let first = r.vms.first().map(|vm| vm.generation);
                        r.vms.len() == running.len() && r.vms.iter().all(|vm| Some(vm.generation) == first && vm.ready)
                    })
            })
            .await;
        }
    }

    /// Returns the VM whose daemon holds the shard of the engines, according to the daemon on `vm`.
    pub async fn shard_holder(&self, vm: &str) -> Option<String> {
        let report = self.status(vm).await?;
        report.vms.into_iter().find(|vm| !vm.shards.is_empty()).map(|vm| vm.vm)
    }

    /// Waits until a daemon holds the shard of the engines, according to the daemon on `vm`, and
    /// returns its VM.
    ///
    /// # Panics
    /// If none does in time.
    pub async fn wait_for_holder(&self, vm: &str) -> String {
        self.wait_until("a daemon holds the shard", async || self.shard_holder(vm).await.is_some()).await;
        self.shard_holder(vm).await.expect("the shard still has a holder")
    }

    /// Waits until an engine reports that it has a role and accepts work.
    ///
    /// # Panics
    /// If it does not in time.
    pub async fn wait_for_role(&self, engine: &str, role: Role) {
        let what = format!("{engine} has role {role:?}");
        self.wait_until(&what, async || {
            self.engine_status(engine).await.is_some_and(|s| s.role == role && !s.cordoned)
        })
        .await;
    }

    /// Returns the status that an engine reports.
    pub async fn engine_status(&self, engine: &str) -> Option<EngineStatus> {
        let url = format!("http://{}{STATUS_PATH}", self.endpoints[engine].address);
        self.client.get::<EngineReport>(&url, CALL_TIMEOUT).await.ok().map(|report| report.status)
    }

    /// Fixes the roles of engines through `vm`.
    pub async fn fix_roles(&self, vm: &str, roles: &[(&str, Role)]) {
        let fixed: BTreeMap<_, _> = roles.iter().copied().collect();
        self.edit(vm, "roles", "catalogue", &json!({ "fixed": fixed })).await;
    }

    /// Kills an endpoint.
    ///
    /// # Panics
    /// If there is no such endpoint.
    pub fn kill_endpoint(&mut self, name: &str) {
        self.endpoints.get_mut(name).expect("the endpoint exists").process = None;
    }

    /// Returns the metrics of a daemon as text.
    ///
    /// # Panics
    /// If it does not respond.
    pub async fn metrics(&self, vm: &str) -> String {
        let req = Request::get(format!("http://{}/metrics", self.daemons[vm].operator_address)).body(Full::default());
        let (_, body) =
            self.client.fetch(req.expect("the request is valid"), CALL_TIMEOUT).await.expect("the daemon responds");
        String::from_utf8_lossy(&body).into_owned()
    }

    /// Returns the number of calls to the key-value service so far, by path.
    pub async fn kv_calls(&self) -> BTreeMap<String, u64> {
        self.client.get(&format!("http://{}/calls", self.kv_address), CALL_TIMEOUT).await.unwrap_or_default()
    }

    /// Waits until `condition` returns true.
    ///
    /// # Panics
    /// If it does not in time; prints the logs of the daemons.
    pub async fn wait_until(&self, what: &str, condition: impl AsyncFn() -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !condition().await {
            if Instant::now() > deadline {
                for vm in self.daemons.keys() {
                    eprintln!("--- {vm}\n{}", self.log(vm));
                }
                panic!("timed out waiting until {what}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.daemons.clear();
        self.endpoints.clear();
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

async fn start_relay(target: &str) -> Relay {
    Relay::start(target.parse().expect("the address is valid")).await.expect("a free port is available")
}

/// Merges the members of `change` into `value`, recursively.
pub fn merge(value: &mut Value, change: &Value) {
    match (value, change) {
        (Value::Object(value), Value::Object(change)) => {
            for (key, change) in change {
                merge(value.entry(key.clone()).or_insert(Value::Null), change);
            }
        }
        (value, change) => *value = change.clone(),
    }
}
