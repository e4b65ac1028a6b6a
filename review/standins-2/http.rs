//! HTTP/1.1 for stand-ins: reading of messages, a server with one thread a connection, and a client.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line, split at its first two spaces.
    pub line: [String; 3],
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        &self.line[1]
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.line[1].parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message; `None` if the connection ends before its end.
pub fn read_message(reader: &mut impl BufRead, is_answer: bool) -> Option<Message> {
    let mut message = Message::default();
    let first = read_line(reader)?;
    for (part, text) in message.line.iter_mut().zip(first.splitn(3, ' ')) {
        *part = text.to_owned();
    }
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let is_chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    if is_chunked {
        loop {
            let size = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk).ok()?;
            message.body.extend(chunk);
            read_line(reader)?;
            if size == 0 {
                return Some(message);
            }
        }
    }
    match message.header("content-length").and_then(|value| value.parse().ok()) {
        Some(length) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body).ok()?;
        }
        None if is_answer => {
            reader.read_to_end(&mut message.body).ok()?;
        }
        None => {}
    }
    Some(message)
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok()?;
    if line.pop() != Some(b'\n') {
        return None;
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    String::from_utf8(line).ok()
}

/// Makes an answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    bytes
}

/// Serves connections until it is stopped. Its connections can be reset at any time.
pub struct Server {
    pub address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Starts a server; `serve` gets each connection.
    pub fn start(
        address: SocketAddr,
        serve: impl Fn(TcpStream) + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let is_stopped = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (stopped, open, serve) = (is_stopped.clone(), streams.clone(), Arc::new(serve));
        thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(clone) = stream.try_clone() {
                            open.lock().unwrap().push(clone);
                        }
                        let serve = serve.clone();
                        thread::spawn(move || serve(stream));
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(1))
                    }
                    Err(_) => return,
                }
            }
        });
        Ok(Self { address, is_stopped, streams })
    }

    /// Stops to listen and closes all connections, as the end of a process does.
    pub fn crash(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Listens on an address that an earlier listener may just have left.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let mut tries = 0;
    loop {
        match TcpListener::bind(address) {
            Err(_) if tries < 200 => {
                tries += 1;
                thread::sleep(Duration::from_millis(5));
            }
            result => return result,
        }
    }
}

/// Returns a loopback address whose port is free now and is not returned again. The ports are below those that
/// the system gives to outgoing connections.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    const FIRST: u16 = 10_000;
    const COUNT: u16 = 20_000;
    let process = (std::process::id() % u32::from(COUNT)) as u16;
    loop {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = FIRST + (process.wrapping_mul(101) % COUNT + number) % COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns a request as bytes.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    bytes
}

/// Sends a request on a connection of its own and reads the answer; `None` if there is no whole one in time.
pub fn call(address: SocketAddr, bytes: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(bytes).ok()?;
    read_message(&mut BufReader::new(stream), true)
}
