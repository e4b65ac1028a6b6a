//! A whole system for tests: entries and sidecars as real processes, stand-ins in this process.

use std::collections;
use std::env;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::time;

use bramleyshelf_lib::{check, config, http, operator, store};

use crate::engine;
use crate::instances;
use crate::kv;
use crate::link;
use crate::model;
use crate::plain;
use crate::server;

/// Time that a process may take to become ready.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Pause between two looks at a process.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Units in which the kernel counts processor time.
const TICKS_PER_SECOND: u64 = 100;
/// Size of a page of memory.
const PAGE_BYTES: u64 = 4_096;

/// A signal to a child process.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// Ask it to stop.
    Terminate,
    /// End it at once.
    Kill,
    /// Freeze it.
    Stop,
    /// Let it go on.
    Continue,
    /// Ask it to read its settings again.
    Hangup,
}

/// A child process, ended when it is dropped.
#[derive(Debug)]
pub struct Child {
    child: process::Child,
}

impl Child {
    /// Starts a program; all that it prints goes to the end of the file `log`.
    ///
    /// # Panics
    /// Panics if the program is not built.
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
    /// Panics if the signal cannot be sent.
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

    /// Returns the number of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the processor time that the process has used, and its resident memory in bytes.
    ///
    /// # Panics
    /// Panics if the operating system does not tell.
    pub fn resource_usage(&self) -> (time::Duration, u64) {
        let id = self.child.id();
        let read = |file: &str| {
            fs::read_to_string(format!("/proc/{id}/{file}")).expect("the process runs")
        };
        let stat = read("stat");
        // The name of the program, which may have spaces, ends with the last parenthesis.
        let (_, rest) = stat.rsplit_once(')').expect("the format of the kernel");
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks: u64 = fields[11..13].iter().filter_map(|text| text.parse::<u64>().ok()).sum();
        let pages = read("statm").split(' ').nth(1).and_then(|text| text.parse::<u64>().ok());
        let cpu = time::Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND);
        (cpu, pages.unwrap_or(0) * PAGE_BYTES)
    }

    /// Waits until the process has ended; returns whether it did within `limit`.
    ///
    /// # Panics
    /// Panics if the operating system does not tell.
    pub async fn exits_within(&mut self, limit: time::Duration) -> bool {
        let until = time::Instant::now() + limit;
        while !self.has_exited() {
            if time::Instant::now() >= until {
                return false;
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        true
    }

    /// Whether the process has ended.
    ///
    /// # Panics
    /// Panics if the operating system does not tell.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("own child").is_some()
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // Fails only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What the upstreams of a service are in a test.
#[derive(Clone, Debug)]
pub enum StandIn {
    /// Model engines.
    Engine(engine::Engine),
    /// Encoders, retrievers or rerankers.
    Model(model::Model),
    /// Business services.
    Plain(plain::Plain),
}

/// An upstream with its sidecar.
#[derive(Debug)]
pub struct UpstreamNode {
    /// Name of the instance.
    pub name: String,
    /// Service of the upstream.
    pub service: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Address of the sidecar.
    pub address: net::SocketAddr,
    /// Address of the sidecar for entries across the link.
    pub relay: net::SocketAddr,
    /// The upstream.
    pub upstream: server::Running,
    /// Its work, with the log of what it received.
    pub stand_in: StandIn,
    /// The sidecar's process; missing while it is down.
    pub sidecar: Option<Child>,
}

/// An entry.
#[derive(Debug)]
pub struct EntryNode {
    /// Name of the instance.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Address for callers.
    pub address: net::SocketAddr,
    /// Address for other processes.
    pub peer_address: net::SocketAddr,
    /// The process; missing while it is down.
    pub process: Option<Child>,
}

/// How large a cluster is.
#[derive(Clone, Debug)]
pub struct Options {
    /// Entries.
    pub entries: usize,
    /// Upstreams of each service.
    pub upstreams: usize,
    /// Time of a call or token, in milliseconds.
    pub work_ms: u64,
    /// Calls that an upstream runs at a time.
    pub slots: usize,
    /// Model engines, if not as many as other upstreams.
    pub engines: Option<usize>,
    /// Time of a prompt whose prefix an engine does not know, in milliseconds.
    pub prefill_ms: u64,
    /// Link between the first region and the others.
    pub link: Option<link::Link>,
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
        }
    }
}

/// A whole system.
#[derive(Debug)]
pub struct Cluster {
    /// Directory with settings and logs.
    pub directory: path::PathBuf,
    /// The key-value service.
    pub store: server::Running,
    /// Content of the key-value service.
    pub kv: kv::Kv,
    /// The instance list.
    pub list: server::Running,
    /// Content of the instance list.
    pub instances: instances::InstanceList,
    /// The instance list of the other regions, and its content.
    pub remote_list: server::Running,
    /// Content of the instance list of the other regions.
    pub remote_instances: instances::InstanceList,
    /// Upstreams with their sidecars.
    pub nodes: Vec<UpstreamNode>,
    /// Entries.
    pub entries: Vec<EntryNode>,
    programs: path::PathBuf,
    shape: Options,
    domains: Vec<String>,
    keyed: usize,
    home: collections::BTreeSet<String>,
}

fn loopback(port: u16) -> net::SocketAddr {
    (net::Ipv4Addr::LOCALHOST, port).into()
}

/// First port of the range from which processes get theirs; it ends where the operating system's
/// own choices begin, so that no outgoing connection takes one of them first.
const FIRST_PORT: u32 = 10_000;
/// Ports in the range.
const PORTS: u32 = 22_000;

/// Returns an address that nobody listens on.
///
/// # Panics
/// Panics if the machine has no free port.
pub fn free_address() -> net::SocketAddr {
    static NEXT: sync::atomic::AtomicU32 = sync::atomic::AtomicU32::new(0);
    for _ in 0..PORTS {
        // Test programs that run side by side begin at different places.
        let step = NEXT.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let port = FIRST_PORT + (process::id() * 131 + step) % PORTS;
        let address = loopback(u16::try_from(port).expect("the range is below 65536"));
        if net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port");
}

fn work_of(kind: config::Kind, shape: &Options) -> StandIn {
    let pause = time::Duration::from_millis(shape.work_ms);
    match kind {
        config::Kind::Engine => {
            let prefill = time::Duration::from_millis(shape.prefill_ms);
            StandIn::Engine(engine::Engine::new(pause, shape.slots).with_prefill(prefill))
        }
        config::Kind::Model => StandIn::Model(model::Model::new(pause, shape.slots)),
        config::Kind::Plain => StandIn::Plain(plain::Plain::new(pause)),
    }
}

async fn start_work(work: &StandIn) -> server::Running {
    match work {
        StandIn::Engine(work) => server::start(loopback(0), work.clone()).await,
        StandIn::Model(work) => server::start(loopback(0), work.clone()).await,
        StandIn::Plain(work) => server::start(loopback(0), work.clone()).await,
    }
}

impl Cluster {
    /// Starts a system with a text and waits until it serves.
    ///
    /// `program` is the path of the `bramleyshelf` program; the sidecar's stands beside it.
    ///
    /// # Panics
    /// Panics if the text is invalid or a process does not become ready.
    pub async fn start(program: &str, name: &str, text: &str, shape: Options) -> Self {
        let config = check::parse(text).expect("the text is valid");
        let programs = path::Path::new(program).parent().expect("a directory").to_owned();
        let directory = env::temp_dir().join(format!("bramleyshelf-{name}-{}", process::id()));
        fs::create_dir_all(&directory).expect("a temporary directory");
        let kv = kv::Kv::default();
        let instances = instances::InstanceList::default();
        let domains = config.regions.values().flat_map(|region| region.domains.iter());
        let home = config.regions.values().next().expect("a region").domains.iter();
        let far_instances = instances::InstanceList::default();
        let mut cluster = Self {
            directory,
            store: server::start(loopback(0), kv.clone()).await,
            kv,
            list: server::start(loopback(0), instances.clone()).await,
            instances,
            remote_list: server::start(loopback(0), far_instances.clone()).await,
            remote_instances: far_instances,
            nodes: Vec::new(),
            entries: Vec::new(),
            programs,
            shape: shape.clone(),
            keyed: config.services.values().filter(|service| !service.idempotent).count(),
            home: home.map(ToString::to_string).collect(),
            domains: domains.map(ToString::to_string).collect(),
        };
        cluster.apply(text).await;
        for (service, rules) in &config.services {
            let is_engine = rules.kind == config::Kind::Engine;
            let count = shape.engines.filter(|_| is_engine).unwrap_or(shape.upstreams);
            for number in 0..count {
                cluster.add_node(service.as_str(), rules.kind, number).await;
            }
        }
        cluster.publish();
        for number in 0..shape.entries {
            cluster.add_entry(number);
        }
        cluster.start_all();
        cluster.wait_ready().await;
        cluster
    }

    /// Returns a client of the key-value service.
    pub fn store_client(&self) -> store::Etcd {
        store::Etcd::new(&self.store_url())
    }

    /// Returns the address of the key-value service.
    pub fn store_url(&self) -> String {
        format!("http://{}", self.store.address)
    }

    /// Puts a text in force.
    ///
    /// # Panics
    /// Panics if it is not accepted.
    pub async fn apply(&self, text: &str) {
        let nonce = format!("{:?}", time::Instant::now());
        operator::apply(&self.store_client(), text, None, &nonce).await.expect("an accepted text");
    }

    /// Runs a command of operators; returns whether it succeeded, and all that it printed.
    ///
    /// # Panics
    /// Panics if the program is not built.
    pub async fn run_command(&self, words: &[&str]) -> (bool, String) {
        let program = self.programs.join("bramleyshelf");
        let mut all: Vec<String> = words.iter().map(ToString::to_string).collect();
        all.extend(["--store".to_owned(), self.store_url()]);
        let run = move || process::Command::new(program).args(all).output().expect("it runs");
        let output = tokio::task::spawn_blocking(run).await.expect("no panic");
        let text = [output.stdout, output.stderr].concat();
        (output.status.success(), String::from_utf8_lossy(&text).into_owned())
    }

    async fn add_node(&mut self, service: &str, kind: config::Kind, number: usize) {
        let work = work_of(kind, &self.shape);
        let address = free_address();
        let relay = match &self.shape.link {
            Some(link) => link.relay(address).await,
            None => address,
        };
        let node = UpstreamNode {
            name: format!("{service}-{number}"),
            service: service.to_owned(),
            domain: self.domains[number % self.domains.len()].clone(),
            address,
            relay,
            upstream: start_work(&work).await,
            stand_in: work,
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

    /// Writes the instance lists from the nodes; those in `leaving` are shown as such.
    pub fn publish_leaving(&self, leaving: &[&str]) {
        for (content, is_home) in [(&self.instances, true), (&self.remote_instances, false)] {
            let listed = self.nodes.iter().map(|node| instances::Instance {
                name: node.name.clone(),
                service: node.service.clone(),
                address: if self.home.contains(&node.domain) == is_home {
                    node.address
                } else {
                    node.relay
                },
                domain: node.domain.clone(),
                leaving: leaving.contains(&node.name.as_str()),
            });
            content.set(listed.collect());
        }
    }

    /// Empties the instance lists, as a fault of the platform would.
    pub fn publish_empty(&self) {
        self.instances.set(Vec::new());
        self.remote_instances.set(Vec::new());
    }

    /// Writes the instance list from the nodes.
    pub fn publish(&self) {
        self.publish_leaving(&[]);
    }

    fn peers(&self) -> Vec<net::SocketAddr> {
        self.entries.iter().map(|entry| entry.peer_address).collect()
    }

    /// Starts every process that is down.
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
    /// Panics if the program is not built.
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
    /// Panics if the program is not built.
    pub fn start_entry(&mut self, index: usize) {
        let entry = &self.entries[index];
        let others: Vec<_> =
            self.peers().into_iter().filter(|peer| *peer != entry.peer_address).collect();
        let is_home = self.home.contains(&entry.domain);
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
        let file = self.directory.join(format!("{name}.json"));
        fs::write(&file, settings.to_string()).expect("a writable directory");
        let log = self.directory.join(format!("{name}.log"));
        let file = file.to_string_lossy();
        let mut all = arguments.to_vec();
        all.extend(["--settings", &*file]);
        Child::start(&self.programs.join(program), &all, &log)
    }

    /// Waits until every running process is ready and all key ranges have owners.
    ///
    /// # Panics
    /// Panics if that takes too long.
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
        // Entries look at the instance list on their own.
        tokio::time::sleep(time::Duration::from_millis(200)).await;
    }

    /// Waits until an entry is ready.
    pub async fn wait_entry_ready(&self, index: usize) {
        let address = self.entries[index].peer_address;
        wait_until(START_TIMEOUT, async || self.is_ready(address).await).await;
    }

    async fn is_ready(&self, address: net::SocketAddr) -> bool {
        get(address, "/readyz").await.is_some_and(|answer| answer.status == 200)
    }

    /// Whether each key range of each service that needs it has an owner in the store.
    pub fn all_ranges_owned(&self) -> bool {
        let owners = self.kv.count_keys("/owners/");
        owners == self.keyed * bramleyshelf_lib::key::RANGE_COUNT as usize
    }

    /// Returns the index of a node.
    ///
    /// # Panics
    /// Panics if there is no such node.
    pub fn node_index(&self, name: &str) -> usize {
        self.nodes.iter().position(|node| node.name == name).expect("a node of that name")
    }

    /// Returns the runs of all upstreams of a plain service.
    pub fn executions(&self, service: &str) -> Vec<plain::Execution> {
        let nodes = self.nodes.iter().filter(|node| node.service == service);
        nodes
            .flat_map(|node| match &node.stand_in {
                StandIn::Plain(work) => work.executions(),
                _ => Vec::new(),
            })
            .collect()
    }

    /// Returns the sum of a metric over all entries, for the lines that contain all the texts.
    pub async fn sum_metric(&self, name: &str, parts: &[&str]) -> f64 {
        let mut sum = 0.0;
        for entry in &self.entries {
            let Some(answer) = get(entry.address, "/metrics").await else { continue };
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let hits = text.lines().filter(|line| {
                line.starts_with(name) && parts.iter().all(|part| line.contains(part))
            });
            let values = hits.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
            sum += values.sum::<f64>();
        }
        sum
    }

    /// Returns the log of a process.
    ///
    /// # Panics
    /// Panics if it has none.
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

/// Repeats a look until it succeeds; returns whether it did in time.
pub async fn wait_until(limit: time::Duration, look: impl AsyncFn() -> bool) -> bool {
    let start = time::Instant::now();
    while start.elapsed() < limit {
        if look().await {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    false
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: hyper::HeaderMap,
    /// Bytes that arrived.
    pub body: bytes::Bytes,
    /// Whether the body ended as it must.
    pub is_complete: bool,
}

impl Response {
    /// Returns the body as JSON, or null.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns what a refusal says about whether the request ran.
    pub fn ran(&self) -> String {
        self.json()["error"]["ran"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the kind of a refusal.
    pub fn kind(&self) -> String {
        self.json()["error"]["kind"].as_str().unwrap_or_default().to_owned()
    }
}

/// A call of a test's caller.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Path.
    pub path: String,
    /// Credential.
    pub credential: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Deadline in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Body.
    pub body: serde_json::Value,
}

impl Call {
    /// Makes a call of a team of the examples.
    pub fn new(path: &str, team: &str, body: serde_json::Value) -> Self {
        let (path, credential) = (path.to_owned(), format!("{team}-demo"));
        Self { path, credential, body, ..Self::default() }
    }

    /// Adds an idempotency key.
    #[must_use]
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Adds a deadline.
    #[must_use]
    pub fn with_deadline(mut self, millis: u64) -> Self {
        self.deadline_ms = Some(millis);
        self
    }

    /// Returns the request that makes the call at an entry.
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

    /// Makes the call at an entry; returns nothing if the connection did not bring a response.
    pub async fn send(&self, client: &http::Client, entry: net::SocketAddr) -> Option<Response> {
        read_answer(client.request(self.to_request(entry)).await.ok()?).await
    }
}

async fn read_answer(response: hyper::Response<hyper::body::Incoming>) -> Option<Response> {
    use http_body_util::BodyExt as _;
    let (parts, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            whole = false;
            break;
        };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    let (status, headers) = (parts.status.as_u16(), parts.headers);
    Some(Response { status, headers, body: bytes.into(), is_complete: whole })
}

/// Asks a process for a path.
pub async fn get(address: net::SocketAddr, path: &str) -> Option<Response> {
    let request = hyper::Request::get(format!("http://{address}{path}"));
    let request = request.body(http::Body::full("")).ok()?;
    let limit = time::Duration::from_secs(2);
    let response = http::with_timeout(limit, http::client(false).request(request)).await?.ok()?;
    read_answer(response).await
}

/// Returns a new idempotency key that carries its mint time.
pub fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}
