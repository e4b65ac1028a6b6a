//! A small deployment on loopback addresses: the store, gateway processes that are started with the
//! command of the deploy file, and runners in the store's list.

use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Connection};
use crate::store::Store;

/// Pause between two reports of a runner to the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time within which a gateway has to become ready.
const START_LIMIT: Duration = Duration::from_secs(10);

/// What was sent, answered and run, with the time since the start; clones share it.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = fs::File::create(path).expect("a writable folder");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        let time = self.now().as_secs_f64();
        let _ = writeln!(self.file.lock().expect("no holder panics"), "{time:9.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// A gateway process.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    process: Option<Child>,
}

/// The deployment. Its processes end when it is dropped.
pub struct Site {
    pub store: Store,
    pub record: Record,
    pub gateways: Vec<Gateway>,
    folder: PathBuf,
    command: Vec<String>,
}

/// Returns the value of a line `name = "value"` of the gateway's role in the deploy file.
fn deploy_value(text: &str, name: &str) -> String {
    let role = text.split("[roles.gateway]").nth(1).expect("the role of gateways");
    let line = role.lines().find_map(|line| line.strip_prefix(&format!("{name} = \"")));
    line.expect("a value").trim_end_matches('"').to_owned()
}

/// Renders a settings template for values whose JSON text is given.
fn render(template: &str, values: &BTreeMap<&str, String>) -> String {
    let mut text = template.to_owned();
    for (name, value) in values {
        text = text.replace(&format!("{{{{#{name}}}}}"), "");
        text = text.replace(&format!("{{{{/{name}}}}}"), "");
        text = text.replace(&format!("{{{{{name}|json}}}}"), value);
        text = text.replace(&format!("{{{{{name}}}}}"), value.trim_matches('"'));
    }
    assert!(!text.contains("{{"), "the template has a placeholder that is not known: {text}");
    text
}

/// Returns a free loopback address.
fn free_address() -> SocketAddr {
    http::listen().1
}

impl Site {
    /// Starts `count` gateways in one zone with a first configuration, and waits until they are
    /// ready. Runners have to be added before.
    pub fn new(record: &Record) -> Self {
        let folder =
            std::env::temp_dir().join(format!("bramleyshelf-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a writable folder");
        let deploy = fs::read_to_string("deploy/system.toml").expect("the deploy file");
        let command = deploy_value(&deploy, "run").split(' ').map(str::to_owned).collect();
        let (store, record) = (Store::default(), record.clone());
        Self { store, record, gateways: Vec::new(), folder, command }
    }

    /// Writes a configuration as the operator does.
    pub fn configure(&self, config: &str) {
        self.store.put("op/config", config);
        self.record.line(&format!("operator writes {config}"));
    }

    /// Starts gateways and waits until they are ready.
    pub fn start_gateways(&mut self, count: usize) -> bool {
        let deploy = fs::read_to_string("deploy/system.toml").expect("the deploy file");
        let template = fs::read_to_string(deploy_value(&deploy, "template")).expect("a template");
        let store = self.store.serve();
        for index in 0..count {
            let name = format!("edge-{}", index + 1);
            let (front, ready) = (free_address(), free_address());
            let internal = [free_address().port(), free_address().port()];
            let values = BTreeMap::from([
                ("node_name", format!("\"{name}\"")),
                ("listen.front", format!("\"{front}\"")),
                ("listen.ready", format!("\"{ready}\"")),
                ("ip", "\"127.0.0.1\"".to_owned()),
                ("internal_ports.0", internal[0].to_string()),
                ("internal_ports.1", internal[1].to_string()),
                ("zone", "\"zone-a\"".to_owned()),
                ("zones", r#"{"zone-a":"region-a"}"#.to_owned()),
                ("platform.address", format!("\"{store}\"")),
                ("bounds.strict_revoke", "true".to_owned()),
                ("bounds.revoke_ms", "5000".to_owned()),
            ]);
            let settings = self.folder.join(format!("{name}.json"));
            fs::write(&settings, render(&template, &values)).expect("a writable folder");
            let gateway = Gateway { name, front, ready, settings, process: None };
            self.gateways.push(gateway);
            self.start(index);
        }
        (0..count).all(|index| self.wait_ready(index))
    }

    /// Starts the process of a gateway.
    pub fn start(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        let settings = gateway.settings.to_string_lossy().into_owned();
        let words = self.command.iter().map(|word| match word.as_str() {
            "/etc/bramleyshelf/node.json" => settings.as_str(),
            word => word,
        });
        let words: Vec<_> = words.collect();
        let log = self.folder.join(format!("{}.log", gateway.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log file");
        let errors = log.try_clone().expect("a second handle");
        let mut command = Command::new(words[0]);
        command.args(&words[1..]).env_clear().env("BRAMLEYSHELF_BOOT", &settings);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        gateway.process = Some(command.spawn().expect("the program is built"));
        let words: Vec<_> = self.command.iter().map(String::as_str).collect();
        self.record.line(&format!("{} starts: {}", gateway.name, words.join(" ")));
    }

    /// Waits until a gateway answers its readiness probe with 200. Returns whether it did.
    pub fn wait_ready(&self, index: usize) -> bool {
        let gateway = &self.gateways[index];
        let until = Instant::now() + START_LIMIT;
        while Instant::now() < until {
            if probe(gateway.ready) == Some(200) {
                self.record.line(&format!("{} is ready", gateway.name));
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.record.say(&format!("{} does not become ready", gateway.name));
        false
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            if let Some(mut process) = gateway.process.take() {
                let _ = process.kill();
                let _ = process.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the status of a gateway's readiness probe.
fn probe(address: SocketAddr) -> Option<u16> {
    let mut connection = Connection::open(address).ok()?;
    let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(1)));
    let request = http::encode("GET /bramleyshelf/readiness HTTP/1.1", &[("Host", "ready")], b"");
    connection.write(&request).ok()?;
    Some(connection.read_answer().ok()?.status)
}

/// A route of the configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u32,
    pub target_ms: u32,
    pub max_attempts: u32,
    pub resume_streams: bool,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// Encodes a configuration. `services` are pairs of name and connection limit; `keys` are those of
/// the only tenant.
pub fn config(version: u64, routes: &[Route], services: &[(&str, u32)], keys: &[&str]) -> String {
    let routes = routes.iter().map(|route| {
        format!(
            "{{\"name\":\"r-{prefix}\",\"host\":\"{HOST}\",\"prefix\":\"/{prefix}/\",\"kind\":\"{}\",\
             \"timeout_ms\":{},\"latency_target_ms\":{},\"priority\":2,\"service\":\"{}\",\
             \"max_attempts\":{},\"stages\":[],\"public\":{},\"affinity\":false,\
             \"resume_streams\":{},\"gap_aim_ms\":250}}",
            route.kind,
            route.timeout_ms,
            route.target_ms,
            route.service,
            route.max_attempts,
            route.is_public,
            route.resume_streams,
            prefix = route.prefix,
        )
    });
    let services = services.iter().map(|(name, limit)| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":{limit},\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    let (routes, services): (Vec<_>, Vec<_>) = (routes.collect(), services.collect());
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"api_keys\":[{}],\"priority\":1}}]}}",
        routes.join(","),
        services.join(","),
        keys.join(",")
    )
}

/// Host of all routes.
pub const HOST: &str = "shop.example";
/// Name of the only tenant.
pub const TENANT: &str = "club";

/// The route of bookings, which may run once at most.
pub const BOOKINGS: Route = Route {
    prefix: "book",
    kind: "unsafe",
    service: "hire",
    timeout_ms: 2_000,
    target_ms: 250,
    max_attempts: 1,
    resume_streams: false,
    is_public: false,
};

/// Sends a booking on a connection of its own and reads its answer.
pub fn send_booking(front: SocketAddr, attempt: &str, key: &str) -> Option<http::Answer> {
    let mut connection = Connection::open(front).ok()?;
    let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(4)));
    let bearer = format!("Bearer {key}");
    let fields = [
        ("Host", HOST),
        ("X-Attempt-Id", attempt),
        ("X-Deadline-Ms", "4000"),
        ("Authorization", &bearer),
    ];
    connection.write(&http::encode("POST /book/1 HTTP/1.1", &fields, b"two carts")).ok()?;
    connection.read_answer().ok()
}

/// Returns the current time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

/// Lists a runner in the store and reports for it at the usual interval. While `is_down` is true, the
/// runner is not there; after that it reports as a new process.
pub fn register(
    store: &Store,
    id: &str,
    service: &str,
    address: SocketAddr,
    slots: u32,
    is_down: Option<&Arc<AtomicBool>>,
) {
    let (store, id, service) = (store.clone(), id.to_owned(), service.to_owned());
    let is_down = is_down.cloned().unwrap_or_default();
    let report = move |sequence: u64, born: u128| {
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\
             \"version\":\"1\",\"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\
             \"sequence\":{sequence},\"born\":{born}}}"
        );
        store.put(&format!("servers/{id}"), &entry);
    };
    let mut born = unix_ms();
    report(1, born);
    thread::spawn(move || {
        let (mut sequence, mut reported, mut was_down) = (1, Instant::now(), false);
        loop {
            thread::sleep(Duration::from_millis(5));
            if is_down.load(Ordering::Relaxed) {
                was_down = true;
                continue;
            }
            if was_down {
                (sequence, born) = (0, unix_ms());
            }
            if was_down || reported.elapsed() >= HEARTBEAT {
                sequence += 1;
                report(sequence, born);
                (reported, was_down) = (Instant::now(), false);
            }
        }
    });
}
