//! A complete system for tests: entries and sidecars run as processes of their own, the stand-ins
//! for the platform and the upstreams in the test's process.

use std::collections;
use std::env;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::time;

use bramleyshelf_lib::{check, config, gateway_settings, http, operator, store};

use crate::engine;
use crate::instances;
use crate::kv;
use crate::link;
use crate::model;
use crate::plain;
use crate::server;

/// Time within which a process has to become ready.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Interval between two checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Unit of processor time in `/proc/PID/stat`, as a number per second.
const CPU_TICKS_PER_SECOND: u64 = 100;
/// Size of a memory page, the unit of `/proc/PID/statm`.
const PAGE_BYTES: u64 = 4_096;

/// Signal to a child process.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// SIGTERM: stop gracefully.
    Terminate,
    /// SIGKILL: end at once.
    Kill,
    /// SIGSTOP: freeze until `Continue`.
    Stop,
    /// SIGCONT: resume after `Stop`.
    Continue,
    /// SIGHUP: reload the settings.
    Hangup,
}

/// A child process, which is killed when it is dropped.
#[derive(Debug)]
pub struct Child {
    child: process::Child,
}

impl Child {
    /// Starts a program and appends its standard output and error to the file `log`.
    ///
    /// # Panics
    /// Panics if the program has not been built or the file cannot be opened.
    pub fn start(program: &path::Path, arguments: &[&str], log: &path::Path) -> Self {
        let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("log file");
        let child = process::Command::new(program)
            .args(arguments)
            .env("RUST_LOG", env::var("RUST_LOG").unwrap_or_else(|_| "info".to_owned()))
            .stdin(process::Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("the program is built");
        Self { child }
    }

    /// Sends a signal to the process.
    ///
    /// # Panics
    /// Panics if the signal cannot be sent, for example because the process has exited.
    pub fn signal(&self, signal: Signal) {
        let name = match signal {
            Signal::Terminate => "-TERM",
            Signal::Kill => "-KILL",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::Hangup => "-HUP",
        };
        let id = self.child.id().to_string();
        let status = process::Command::new("kill").args([name, &id]).status();
        assert!(status.is_ok_and(|status| status.success()), "signal {name} to {id}");
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the processor time that the process has used, and its resident memory in bytes.
    ///
    /// # Panics
    /// Panics if the process has exited.
    pub fn resource_usage(&self) -> (time::Duration, u64) {
        let id = self.child.id();
        let read = |file: &str| {
            fs::read_to_string(format!("/proc/{id}/{file}")).expect("the process runs")
        };
        let stat = read("stat");
        // The program name may have spaces; it ends at the last parenthesis.
        let (_, rest) = stat.rsplit_once(')').expect("the format of the kernel");
        let fields: Vec<&str> = rest.split_whitespace().collect();
        // User time and system time.
        let ticks: u64 = fields[11..13].iter().filter_map(|text| text.parse::<u64>().ok()).sum();
        let pages = read("statm").split(' ').nth(1).and_then(|text| text.parse::<u64>().ok());
        let cpu = time::Duration::from_millis(ticks * 1_000 / CPU_TICKS_PER_SECOND);
        (cpu, pages.unwrap_or(0) * PAGE_BYTES)
    }

    /// Returns the most memory that the process has had resident, in bytes.
    ///
    /// # Panics
    /// Panics if the process has exited.
    pub fn peak_memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|text| text.trim().strip_suffix(" kB")?.parse::<u64>().ok());
        kilobytes.expect("the format of the kernel") * 1_024
    }

    /// Waits for the process to exit; returns whether it did within `limit`.
    ///
    /// # Panics
    /// Panics if the state of the process cannot be read.
    pub async fn exits_within(&mut self, limit: time::Duration) -> bool {
        let deadline = time::Instant::now() + limit;
        while !self.has_exited() {
            if time::Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        true
    }

    /// Returns whether the process has exited.
    ///
    /// # Panics
    /// Panics if the state of the process cannot be read.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("own child").is_some()
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // Fails only if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Stand-in for an upstream, by the kind of its service.
#[derive(Clone, Debug)]
pub enum StandIn {
    /// A model engine.
    Engine(engine::Engine),
    /// An encoder, retriever or reranker.
    Model(model::Model),
    /// An ordinary service without a model.
    Plain(plain::Plain),
}

/// An instance with an upstream and its sidecar.
#[derive(Debug)]
pub struct UpstreamNode {
    /// Name of the instance, such as `encoder-0`.
    pub name: String,
    /// Name of the upstream's service.
    pub service: String,
    /// Failure domain of the instance; instances of a service are spread over all domains.
    pub domain: String,
    /// Address on which the sidecar listens.
    pub address: net::SocketAddr,
    /// Address under which entries of other regions reach the sidecar: that of a relay over the
    /// link, or the sidecar's own if there is no link.
    pub relay: net::SocketAddr,
    /// Server of the upstream, with its faults.
    pub upstream: server::Running,
    /// Stand-in that the server runs, with the log of received requests.
    pub stand_in: StandIn,
    /// Process of the sidecar; `None` while it is not running.
    pub sidecar: Option<Child>,
}

/// An instance with an entry.
#[derive(Debug)]
pub struct EntryNode {
    /// Name of the instance, such as `entry-0`.
    pub name: String,
    /// Failure domain of the instance; entries are spread over all domains.
    pub domain: String,
    /// Address on which the entry listens for callers.
    pub address: net::SocketAddr,
    /// Address on which it listens for other processes of the system.
    pub peer_address: net::SocketAddr,
    /// Process of the entry; `None` while it is not running.
    pub process: Option<Child>,
}

/// Size of a cluster and speed of its upstreams.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of entries.
    pub entries: usize,
    /// Number of upstreams of each service.
    pub upstreams: usize,
    /// Duration of a call, or of one token of a model engine, in milliseconds.
    pub work_ms: u64,
    /// Number of calls that an upstream runs concurrently; further ones wait.
    pub slots: usize,
    /// Number of model engines; `None` for as many as other upstreams.
    pub engines: Option<usize>,
    /// Time that an engine takes to process a prompt whose prefix it has not cached, in
    /// milliseconds.
    pub prefill_ms: u64,
    /// Simulated link between the first region and the others; `None` connects them directly.
    pub link: Option<link::Link>,
    /// What the settings say that instances give their processes; `None` for the defaults.
    pub capacity: Option<gateway_settings::Capacity>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            entries: 2,
            upstreams: 3,
            work_ms: 5,
            slots: 16,
            engines: None,
            prefill_ms: 0,
            link: None,
            capacity: None,
        }
    }
}

/// A complete system under test.
#[derive(Debug)]
pub struct Cluster {
    /// Directory of the processes' settings and logs; kept if the test panics.
    pub directory: path::PathBuf,
    /// Server of the key-value store, with its faults.
    pub store: server::Running,
    /// Content of the key-value store.
    pub kv: kv::Kv,
    /// Server of the instance list for entries of the first region.
    pub list: server::Running,
    /// Content of that instance list.
    pub instances: instances::InstanceList,
    /// Server of the instance list for entries of other regions.
    pub remote_list: server::Running,
    /// Content of that instance list. In both lists, sidecars on the other side of the link have
    /// the address of their relay.
    pub remote_instances: instances::InstanceList,
    /// Instances with upstreams, grouped by service.
    pub nodes: Vec<UpstreamNode>,
    /// Instances with entries.
    pub entries: Vec<EntryNode>,
    /// Directory of the programs under test.
    programs: path::PathBuf,
    options: Options,
    /// Failure domains of all regions.
    domains: Vec<String>,
    /// Number of services whose calls need idempotency keys, and whose key ranges have owners.
    keyed_services: usize,
    /// Failure domains of the first region.
    home_domains: collections::BTreeSet<String>,
}

fn loopback(port: u16) -> net::SocketAddr {
    (net::Ipv4Addr::LOCALHOST, port).into()
}

/// First port of the range from which processes are given ports.
///
/// The range ends below the operating system's ephemeral ports, so that no outgoing connection can
/// take a port of the range first.
const FIRST_PORT: u32 = 10_000;
/// Number of ports in the range.
const PORT_COUNT: u32 = 22_000;

/// Returns a loopback address that only this process uses, so that concurrent test programs cannot
/// be given the same port before one of them listens on it.
fn own_host() -> net::Ipv4Addr {
    // Process ids have at most 22 bits.
    let [_, high, mid, low] = process::id().to_be_bytes();
    net::Ipv4Addr::new(127, 64 | high, mid, low)
}

/// Returns a loopback address that is given out only once, on a host that only this process uses.
///
/// The address is not probed. A program that another thread starts at that moment would hold the
/// probe's listener until it has replaced its image, and the address would be in use meanwhile.
///
/// # Panics
/// Panics if the process has used all its ports.
pub fn free_address() -> net::SocketAddr {
    static NEXT: sync::atomic::AtomicU32 = sync::atomic::AtomicU32::new(0);
    let step = NEXT.fetch_add(1, sync::atomic::Ordering::Relaxed);
    assert!(step < PORT_COUNT, "all ports of the range are used");
    let port = u16::try_from(FIRST_PORT + step).expect("the range is below 65536");
    (own_host(), port).into()
}

fn make_stand_in(kind: config::Kind, options: &Options) -> StandIn {
    let pause = time::Duration::from_millis(options.work_ms);
    match kind {
        config::Kind::Engine => {
            let prefill = time::Duration::from_millis(options.prefill_ms);
            StandIn::Engine(engine::Engine::new(pause, options.slots).with_prefill(prefill))
        }
        config::Kind::Model => StandIn::Model(model::Model::new(pause, options.slots)),
        config::Kind::Plain => StandIn::Plain(plain::Plain::new(pause)),
    }
}

async fn start_stand_in(stand_in: &StandIn) -> server::Running {
    match stand_in {
        StandIn::Engine(engine) => server::start(loopback(0), engine.clone()).await,
        StandIn::Model(model) => server::start(loopback(0), model.clone()).await,
        StandIn::Plain(plain) => server::start(loopback(0), plain.clone()).await,
    }
}

impl Cluster {
    /// Starts a system with a configuration text and waits until all its processes are ready.
    ///
    /// `program` is the path of the `bramleyshelf` program; the sidecar's program is in the same
    /// directory.
    ///
    /// # Panics
    /// Panics if the text is invalid or a process does not become ready.
    pub async fn start(program: &str, name: &str, text: &str, options: Options) -> Self {
        let config = check::parse(text).expect("the text is valid");
        let programs = path::Path::new(program).parent().expect("a directory").to_owned();
        let directory = env::temp_dir().join(format!("bramleyshelf-{name}-{}", process::id()));
        fs::create_dir_all(&directory).expect("a temporary directory");
        let kv = kv::Kv::default();
        let instances = instances::InstanceList::default();
        let domains = config.regions.values().flat_map(|region| region.domains.iter());
        let home_domains = config.regions.values().next().expect("a region").domains.iter();
        let remote_instances = instances::InstanceList::default();
        let mut cluster = Self {
            directory,
            store: server::start(loopback(0), kv.clone()).await,
            kv,
            list: server::start(loopback(0), instances.clone()).await,
            instances,
            remote_list: server::start(loopback(0), remote_instances.clone()).await,
            remote_instances,
            nodes: Vec::new(),
            entries: Vec::new(),
            programs,
            options: options.clone(),
            keyed_services: config.services.values().filter(|service| !service.idempotent).count(),
            home_domains: home_domains.map(ToString::to_string).collect(),
            domains: domains.map(ToString::to_string).collect(),
        };
        cluster.apply(text).await;
        for (service, rules) in &config.services {
            let is_engine = rules.kind == config::Kind::Engine;
            let count = options.engines.filter(|_| is_engine).unwrap_or(options.upstreams);
            for number in 0..count {
                cluster.add_node(service.as_str(), rules.kind, number).await;
            }
        }
        cluster.publish();
        for number in 0..options.entries {
            cluster.add_entry(number);
        }
        cluster.start_all();
        cluster.wait_ready().await;
        cluster
    }

    /// Returns a client of the key-value store.
    pub fn store_client(&self) -> store::Etcd {
        store::Etcd::new(&self.store_url())
    }

    /// Returns the URL of the key-value store.
    pub fn store_url(&self) -> String {
        format!("http://{}", self.store.address)
    }

    /// Writes a configuration text to the store, as `bramleyshelf apply` does.
    ///
    /// # Panics
    /// Panics if it is rejected.
    pub async fn apply(&self, text: &str) {
        let nonce = format!("{:?}", time::Instant::now());
        operator::apply(&self.store_client(), text, None, &nonce).await.expect("an accepted text");
    }

    /// Runs a command of the `bramleyshelf` program; returns whether it succeeded, and its output.
    ///
    /// # Panics
    /// Panics if the program has not been built.
    pub async fn run_command(&self, arguments: &[&str]) -> (bool, String) {
        let program = self.programs.join("bramleyshelf");
        let mut all: Vec<String> = arguments.iter().map(ToString::to_string).collect();
        all.extend(["--store".to_owned(), self.store_url()]);
        let run = move || process::Command::new(program).args(all).output().expect("it runs");
        let output = tokio::task::spawn_blocking(run).await.expect("no panic");
        let text = [output.stdout, output.stderr].concat();
        (output.status.success(), String::from_utf8_lossy(&text).into_owned())
    }

    async fn add_node(&mut self, service: &str, kind: config::Kind, number: usize) {
        let stand_in = make_stand_in(kind, &self.options);
        let address = free_address();
        let relay = match &self.options.link {
            Some(link) => link.relay(address).await,
            None => address,
        };
        let node = UpstreamNode {
            name: format!("{service}-{number}"),
            service: service.to_owned(),
            domain: self.domains[number % self.domains.len()].clone(),
            address,
            relay,
            upstream: start_stand_in(&stand_in).await,
            stand_in,
            sidecar: None,
        };
        self.nodes.push(node);
    }

    fn add_entry(&mut self, number: usize) {
        self.entries.push(EntryNode {
            name: format!("entry-{number}"),
            domain: self.domains[number % self.domains.len()].clone(),
            address: free_address(),
            peer_address: free_address(),
            process: None,
        });
    }

    /// Updates the instance lists from the nodes and marks those named in `leaving` as terminating.
    pub fn publish_leaving(&self, leaving: &[&str]) {
        for (list, is_home) in [(&self.instances, true), (&self.remote_instances, false)] {
            let listed = self.nodes.iter().map(|node| instances::Instance {
                name: node.name.clone(),
                service: node.service.clone(),
                address: if self.home_domains.contains(&node.domain) == is_home {
                    node.address
                } else {
                    node.relay
                },
                domain: node.domain.clone(),
                leaving: leaving.contains(&node.name.as_str()),
            });
            list.set(listed.collect());
        }
    }

    /// Empties the instance lists, which simulates a fault of the platform.
    pub fn publish_empty(&self) {
        self.instances.set(Vec::new());
        self.remote_instances.set(Vec::new());
    }

    /// Updates the instance lists from the nodes.
    pub fn publish(&self) {
        self.publish_leaving(&[]);
    }

    fn peers(&self) -> Vec<net::SocketAddr> {
        self.entries.iter().map(|entry| entry.peer_address).collect()
    }

    /// Starts all processes that are not running.
    pub fn start_all(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].sidecar.is_none() {
                self.start_sidecar(index);
            }
        }
        for index in 0..self.entries.len() {
            if self.entries[index].process.is_none() {
                self.start_entry(index);
            }
        }
    }

    /// Starts the sidecar of a node.
    ///
    /// # Panics
    /// Panics if the program has not been built.
    pub fn start_sidecar(&mut self, index: usize) {
        let peers = self.peers();
        let store = self.store_url();
        let node = &self.nodes[index];
        let settings = serde_json::json!({
            "instance": node.name,
            "listen": node.address,
            "domain": node.domain,
            "service": node.service,
            "upstream": node.upstream.address,
            "store": store,
            "peers": peers,
        });
        let child = self.spawn("bramleyshelf-sidecar", &[], &node.name, &settings);
        self.nodes[index].sidecar = Some(child);
    }

    /// Starts an entry.
    ///
    /// # Panics
    /// Panics if the program has not been built.
    pub fn start_entry(&mut self, index: usize) {
        let entry = &self.entries[index];
        let others: Vec<_> =
            self.peers().into_iter().filter(|peer| *peer != entry.peer_address).collect();
        let is_home = self.home_domains.contains(&entry.domain);
        let list = if is_home { &self.list } else { &self.remote_list };
        let settings = serde_json::json!({
            "instance": entry.name,
            "listen": entry.address,
            "peer_listen": entry.peer_address,
            "domain": entry.domain,
            "store": self.store_url(),
            "instances": format!("http://{}/", list.address),
            "peers": others,
        });
        let child = self.spawn("bramleyshelf", &["entry"], &entry.name, &settings);
        self.entries[index].process = Some(child);
    }

    fn spawn(
        &self,
        program: &str,
        arguments: &[&str],
        name: &str,
        settings: &serde_json::Value,
    ) -> Child {
        let mut settings = settings.clone();
        if let Some(capacity) = self.options.capacity {
            settings["capacity"] = serde_json::json!(capacity);
        }
        let file = self.directory.join(format!("{name}.json"));
        fs::write(&file, settings.to_string()).expect("a writable directory");
        let log = self.directory.join(format!("{name}.log"));
        let file = file.to_string_lossy();
        let mut all = arguments.to_vec();
        all.extend(["--settings", &*file]);
        Child::start(&self.programs.join(program), &all, &log)
    }

    /// Waits until all running processes are ready and all key ranges have owners.
    ///
    /// # Panics
    /// Panics if that takes longer than 20 seconds.
    pub async fn wait_ready(&self) {
        let nodes = self.nodes.iter().filter(|node| node.sidecar.is_some());
        let mut addresses: Vec<_> = nodes.map(|node| node.address).collect();
        let entries = self.entries.iter().filter(|entry| entry.process.is_some());
        addresses.extend(entries.map(|entry| entry.peer_address));
        for address in addresses {
            let ready = wait_until(START_TIMEOUT, async || self.is_ready(address).await).await;
            assert!(ready, "{address} is not ready; see the logs in {}", self.directory.display());
        }
        let owned = wait_until(START_TIMEOUT, async || self.all_ranges_owned()).await;
        assert!(owned, "some key range has no owner");
        // Readiness does not cover the entries' watch of the instance list, so give it time.
        tokio::time::sleep(time::Duration::from_millis(200)).await;
    }

    /// Waits until an entry is ready, for 20 seconds at most; does not report a timeout.
    pub async fn wait_entry_ready(&self, index: usize) {
        let address = self.entries[index].peer_address;
        wait_until(START_TIMEOUT, async || self.is_ready(address).await).await;
    }

    async fn is_ready(&self, address: net::SocketAddr) -> bool {
        get(address, "/readyz").await.is_some_and(|answer| answer.status == 200)
    }

    /// Returns whether the store holds an owner for each key range of all services that need keys.
    pub fn all_ranges_owned(&self) -> bool {
        let owners = self.kv.count_keys("/owners/");
        owners == self.keyed_services * bramleyshelf_lib::key::RANGE_COUNT as usize
    }

    /// Returns the index in `nodes` of an instance.
    ///
    /// # Panics
    /// Panics if there is no such instance.
    pub fn node_index(&self, name: &str) -> usize {
        self.nodes.iter().position(|node| node.name == name).expect("a node of that name")
    }

    /// Returns the calls executed by all upstreams of a plain service; empty for another service.
    pub fn executions(&self, service: &str) -> Vec<plain::Execution> {
        let nodes = self.nodes.iter().filter(|node| node.service == service);
        nodes
            .flat_map(|node| match &node.stand_in {
                StandIn::Plain(plain) => plain.executions(),
                _ => Vec::new(),
            })
            .collect()
    }

    /// Returns the sum of a metric over all entries.
    ///
    /// Adds up the metric lines that start with `name` and contain all texts of `parts`.
    pub async fn sum_metric(&self, name: &str, parts: &[&str]) -> f64 {
        let mut sum = 0.0;
        for entry in &self.entries {
            let Some(answer) = get(entry.address, "/metrics").await else { continue };
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let matches = text.lines().filter(|line| {
                line.starts_with(name) && parts.iter().all(|part| line.contains(part))
            });
            let values = matches.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
            sum += values.sum::<f64>();
        }
        sum
    }

    /// Returns the log of the process on an instance.
    ///
    /// # Panics
    /// Panics if the instance has no log.
    pub fn read_log(&self, name: &str) -> String {
        fs::read_to_string(self.directory.join(format!("{name}.log"))).expect("a log")
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

/// Polls a condition until it holds; returns whether it did within `limit`.
pub async fn wait_until(limit: time::Duration, condition: impl AsyncFn() -> bool) -> bool {
    let start = time::Instant::now();
    while start.elapsed() < limit {
        if condition().await {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    false
}

/// Response that a caller received.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Header fields of the response.
    pub headers: hyper::HeaderMap,
    /// Bytes of the body that arrived.
    pub body: bytes::Bytes,
    /// Whether the body ended regularly, without a broken connection.
    pub is_complete: bool,
}

impl Response {
    /// Returns the body as JSON, or null if it is not JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the `ran` field of a refusal: whether the request ran; empty if it has none.
    pub fn ran(&self) -> String {
        self.json()["error"]["ran"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the `kind` field of a refusal; empty if it has none.
    pub fn kind(&self) -> String {
        self.json()["error"]["kind"].as_str().unwrap_or_default().to_owned()
    }
}

/// A request that a test makes as a caller.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// HTTP path at the entry.
    pub path: String,
    /// Credential of the caller's team.
    pub credential: String,
    /// Idempotency key; `None` sends none.
    pub key: Option<String>,
    /// Deadline in milliseconds; `None` uses the default of the configuration.
    pub deadline_ms: Option<u64>,
    /// JSON body.
    pub body: serde_json::Value,
}

impl Call {
    /// Makes a call of a team; the example configurations use the credential `TEAM-demo`.
    pub fn new(path: &str, team: &str, body: serde_json::Value) -> Self {
        let (path, credential) = (path.to_owned(), format!("{team}-demo"));
        Self { path, credential, body, ..Self::default() }
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Sets the deadline in milliseconds.
    #[must_use]
    pub fn with_deadline(mut self, millis: u64) -> Self {
        self.deadline_ms = Some(millis);
        self
    }

    /// Returns the HTTP request of the call to an entry.
    ///
    /// # Panics
    /// Panics if the path or a header is invalid.
    pub fn to_request(&self, entry: net::SocketAddr) -> hyper::Request<http::Body> {
        let mut request = hyper::Request::post(format!("http://{entry}{}", self.path))
            .header("authorization", format!("Bearer {}", self.credential));
        if let Some(key) = &self.key {
            request = request.header("idempotency-key", key);
        }
        if let Some(millis) = self.deadline_ms {
            request = request.header("x-deadline-ms", millis);
        }
        request.body(http::Body::full(self.body.to_string())).expect("a valid call")
    }

    /// Sends the call to an entry; returns `None` if the connection failed before a response.
    pub async fn send(&self, client: &http::Client, entry: net::SocketAddr) -> Option<Response> {
        read_answer(client.request(self.to_request(entry)).await.ok()?).await
    }
}

async fn read_answer(response: hyper::Response<hyper::body::Incoming>) -> Option<Response> {
    use http_body_util::BodyExt as _;
    let (parts, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut is_complete = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            is_complete = false;
            break;
        };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    let (status, headers) = (parts.status.as_u16(), parts.headers);
    Some(Response { status, headers, body: bytes.into(), is_complete })
}

/// Sends a GET request; returns `None` if there is no response within 2 seconds.
pub async fn get(address: net::SocketAddr, path: &str) -> Option<Response> {
    let request = hyper::Request::get(format!("http://{address}{path}"));
    let request = request.body(http::Body::full("")).ok()?;
    let limit = time::Duration::from_secs(2);
    let response = http::with_timeout(limit, http::client(false).request(request)).await?.ok()?;
    read_answer(response).await
}

/// Returns a new idempotency key: a version 7 UUID, which contains its creation time.
pub fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}
