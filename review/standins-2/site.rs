//! A small deployment: gateways as processes of their own, the operator's configuration, and the record.

use std::fs::{self, File};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::store::Store;

/// Writes what happened, with the seconds since the start of the case; clones share it.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the folder of the case can be written");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }

    /// Writes a line also to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// One gateway process.
pub struct Gateway {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Gateway {
    /// Starts a gateway with the command of the deploy file and the settings of its template.
    pub fn start(name: &str, zone: &str, zones: &str, store: SocketAddr) -> Self {
        let folder = PathBuf::from(std::env::var("TMPDIR").unwrap_or_else(|_| "/tmp".to_owned()));
        let addresses: Vec<_> = (0..4).map(|_| http::free_address()).collect();
        let [front, ready, metrics, peer] = addresses[..] else { unreachable!() };
        let settings = format!(
            "{{\"instance\":\"{name}\",\"listen\":\"{front}\",\"probe_listen\":\"{ready}\",\
             \"metrics_listen\":\"{metrics}\",\"peer_listen\":\"{peer}\",\"domain\":\"{zone}\",\
             \"regions\":{zones},\"store\":\"{store}\",\"revocation_ms\":5000,\"overload\":\"loss\",\
             \"poll_ms\":900}}"
        );
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("the temporary folder can be written");
        let log = File::create(folder.join(format!("{name}.log"))).expect("a log file");
        let capacity = "{ \"cpu_share\": 0.19, \"link_mbps\": 1000.0, \"memory_mb\": 260, \"max_files\": 4100 }";
        let child = Command::new("target/release/bramleyshelf")
            .args(["gateway", "--settings"])
            .arg(&path)
            .env("BRAMLEYSHELF_CAPACITY", capacity)
            .env("BRAMLEYSHELF_EVACUATION_MS", "")
            .env("BRAMLEYSHELF_COLD_EXCESS", "")
            .env("BRAMLEYSHELF_COLD_SLACK", "")
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the gateway is built");
        Self { front, ready, child }
    }

    /// Waits until the gateway says that it is ready, as the platform's balancer does.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let probe = http::request("GET", "/bramleyshelf/readiness", &[("host", "ready")], b"");
        while Instant::now() < end {
            let answer = http::call(self.ready, &probe, Duration::from_secs(1));
            if answer.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the time of day in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// What a runner writes about itself.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub born: u64,
    pub state: &'static str,
    pub sequence: u64,
}

impl Entry {
    pub fn write(&mut self, store: &Store) {
        self.sequence += 1;
        let Entry { id, service, address, zone, slots, born, state, sequence } = self;
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"cold_left_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
        );
        store.put(&format!("servers/{id}"), &value);
    }
}

/// A source of random numbers.
pub struct Random(u64);

impl Random {
    pub fn new() -> Self {
        Self(unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns a number below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % limit
    }
}
