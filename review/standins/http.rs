//! HTTP/1.1 as far as the stand-ins need it: blocking, one thread per connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Head fields of a message, in the order of their arrival, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// Returns the first field of a name; empty if there is none.
    pub fn get(&self, name: &str) -> &str {
        self.find(name).unwrap_or_default()
    }

    /// Returns the first field of a name.
    pub fn find(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }
}

/// A request as a server has read it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// A whole answer that a client has read, without its body.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
}

/// A connection with the bytes that were received and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, text.to_owned())
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Connects to an address.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Receives more bytes; fails at the end of the connection.
    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16_384];
        let count = self.stream.read(&mut chunk)?;
        if count == 0 {
            return Err(broken("the connection ended"));
        }
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(())
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads up to and including a separator, and returns the text before it.
    fn take_until(&mut self, separator: &[u8]) -> io::Result<String> {
        loop {
            let found = self.buffer.windows(separator.len()).position(|part| part == separator);
            if let Some(at) = found {
                let taken = self.take(at + separator.len())?;
                return Ok(String::from_utf8_lossy(&taken[..at]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads a head: its first line and its fields.
    pub fn read_head(&mut self) -> io::Result<(String, Headers)> {
        let head = self.take_until(b"\r\n\r\n")?;
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
        Ok((first, Headers(fields.collect())))
    }

    /// Reads one chunk of a body; `None` at its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.take_until(b"\r\n")?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| broken("no chunk"))?;
        let data = self.take(size)?;
        self.take(2)?;
        Ok((size > 0).then_some(data))
    }

    fn read_body(&mut self, headers: &Headers) -> io::Result<Vec<u8>> {
        if headers.get("transfer-encoding").eq_ignore_ascii_case("chunked") {
            let mut body = Vec::new();
            while let Some(chunk) = self.read_chunk()? {
                body.extend(chunk);
            }
            return Ok(body);
        }
        self.take(headers.get("content-length").parse().unwrap_or(0))
    }

    pub fn read_request(&mut self) -> io::Result<Request> {
        let (line, headers) = self.read_head()?;
        let body = self.read_body(&headers)?;
        let mut words = line.split(' ').map(str::to_owned);
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        Ok(Request { method, target, headers, body })
    }

    /// Reads the first line and the fields of an answer.
    pub fn read_answer_head(&mut self) -> io::Result<(u16, Headers)> {
        let (line, headers) = self.read_head()?;
        let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
        Ok((status.ok_or_else(|| broken("no status"))?, headers))
    }

    /// Reads a whole answer.
    pub fn read_answer(&mut self) -> io::Result<Answer> {
        let (status, headers) = self.read_answer_head()?;
        self.read_body(&headers)?;
        Ok(Answer { status, headers })
    }

    /// Waits until the peer closes the connection, for at most `limit`. Returns whether it did.
    pub fn wait_closed(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            let mut chunk = [0; 1_024];
            let read = self.stream.read(&mut chunk);
            let _ = self.stream.set_read_timeout(None);
            match read {
                Ok(0) => return true,
                Ok(count) => self.buffer.extend_from_slice(&chunk[..count]),
                Err(e)
                    if [io::ErrorKind::WouldBlock, io::ErrorKind::TimedOut].contains(&e.kind()) =>
                {
                    return false;
                }
                Err(_) => return true,
            }
        }
    }
}

/// Encodes a message from its first line, its fields and a body with a length.
pub fn encode(first: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes an answer.
pub fn answer(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    encode(&format!("HTTP/1.1 {status} Status"), fields, body)
}

/// Serves a listener in threads of its own. The handler answers one request and returns whether the
/// connection stays open.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(&mut Connection, Request) -> bool + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(request) = connection.read_request() {
                    if !handler(&mut connection, request) {
                        break;
                    }
                }
            });
        }
    });
}

/// Listens on a free loopback port.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it listens");
    (listener, address)
}
