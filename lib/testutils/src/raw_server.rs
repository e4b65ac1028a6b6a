//! A server that writes the bytes of its answers itself, so that a test decides how they are framed
//! and how their connection ends.

use std::net;
use std::sync;
use std::time;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// How an answer states where it ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// The head states the length.
    Length,
    /// The body is sent as one chunk and the final one.
    Chunks,
    /// Like `Chunks`, without the final chunk.
    MissingChunk,
    /// The answer ends with its connection.
    Connection,
}

/// How a connection ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// It is closed, so that the peer reads the end of the data.
    Close,
    /// It is reset.
    Reset,
}

/// An answer and the end of its connection.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Header lines besides those of the framing, each with its line end.
    pub headers: String,
    /// How the answer states where it ends.
    pub framing: Framing,
    /// Body.
    pub body: String,
    /// How the connection ends.
    pub end: End,
}

impl Answer {
    fn to_text(&self) -> String {
        let Self { headers, framing, body, .. } = self;
        let length = body.len();
        let head = format!("HTTP/1.1 200 OK\r\n{headers}connection: close\r\n");
        match framing {
            Framing::Length => format!("{head}content-length: {length}\r\n\r\n{body}"),
            Framing::Connection => format!("{head}\r\n{body}"),
            Framing::Chunks | Framing::MissingChunk => {
                let chunk = if body.is_empty() {
                    String::new()
                } else {
                    format!("{length:x}\r\n{body}\r\n")
                };
                let last = if *framing == Framing::Chunks { "0\r\n\r\n" } else { "" };
                format!("{head}transfer-encoding: chunked\r\n\r\n{chunk}{last}")
            }
        }
    }
}

/// Time between the last byte of an answer and the end of its connection, so that a reset does not
/// overtake the answer.
const END_DELAY: time::Duration = time::Duration::from_millis(30);

/// Serves on a free loopback port until the runtime ends. `answer` gets the head of each request.
///
/// # Panics
/// Panics if no port is free.
pub async fn serve(answer: impl Fn(&str) -> Answer + Send + Sync + 'static) -> net::SocketAddr {
    let answer = sync::Arc::new(answer);
    accept_all(move |stream| {
        let answer = answer.clone();
        async move { serve_once(stream, &*answer).await }
    })
    .await
}

/// Serves each connection on a free loopback port until the runtime ends.
async fn accept_all<F>(
    serve: impl Fn(tokio::net::TcpStream) -> F + Send + 'static,
) -> net::SocketAddr
where
    F: Future<Output = std::io::Result<()>> + Send + 'static,
{
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it listens");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            // A peer that has disconnected needs no answer.
            tokio::spawn(serve(stream));
        }
    });
    address
}

/// Serves on a free loopback port until the runtime ends. Each connection gets the answer as soon as the
/// head of its request has arrived, and is reset after a pause, whether or not the body is still on its
/// way.
///
/// # Panics
/// Panics if no port is free.
pub async fn serve_early(
    answer: impl Fn(&str) -> String + Send + Sync + 'static,
    pause: time::Duration,
) -> net::SocketAddr {
    let answer = sync::Arc::new(answer);
    accept_all(move |stream| {
        let answer = answer.clone();
        async move { answer_early(stream, &*answer, pause).await }
    })
    .await
}

async fn answer_early(
    mut stream: tokio::net::TcpStream,
    answer: &(impl Fn(&str) -> String + Sync),
    pause: time::Duration,
) -> std::io::Result<()> {
    let mut received = Vec::new();
    let Some(end) = read_head(&mut stream, &mut received).await? else { return Ok(()) };
    let head = String::from_utf8_lossy(&received[..end]).to_ascii_lowercase();
    stream.write_all(answer(&head).as_bytes()).await?;
    tokio::time::sleep(pause).await;
    socket2::SockRef::from(&stream).set_linger(Some(time::Duration::ZERO))
}

/// Reads until a head is complete and returns its length, or `None` if the connection ends before.
async fn read_head(
    stream: &mut tokio::net::TcpStream,
    received: &mut Vec<u8>,
) -> std::io::Result<Option<usize>> {
    loop {
        if let Some(at) = received.windows(4).position(|window| window == b"\r\n\r\n") {
            return Ok(Some(at + 4));
        }
        if stream.read_buf(received).await? == 0 {
            return Ok(None);
        }
    }
}

/// Reads a request and returns its head in lower case, or `None` if the connection ends before.
async fn read_request(stream: &mut tokio::net::TcpStream) -> std::io::Result<Option<String>> {
    let mut received = Vec::new();
    let Some(head_end) = read_head(stream, &mut received).await? else { return Ok(None) };
    let head = String::from_utf8_lossy(&received[..head_end]).to_ascii_lowercase();
    let length = header(&head, "content-length").parse().unwrap_or(0);
    while received.len() < head_end + length {
        if stream.read_buf(&mut received).await? == 0 {
            return Ok(None);
        }
    }
    Ok(Some(head))
}

async fn serve_once(
    mut stream: tokio::net::TcpStream,
    answer: &(impl Fn(&str) -> Answer + Sync),
) -> std::io::Result<()> {
    let Some(head) = read_request(&mut stream).await? else { return Ok(()) };
    let answer = answer(&head);
    stream.write_all(answer.to_text().as_bytes()).await?;
    tokio::time::sleep(END_DELAY).await;
    if answer.end == End::Reset {
        socket2::SockRef::from(&stream).set_linger(Some(time::Duration::ZERO))?;
    }
    Ok(())
}

/// Returns the value of a header in a head in lower case; empty if it has none.
pub fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
}

/// Serves answers whose bodies have no end, on a free loopback port until the runtime ends.
///
/// # Panics
/// Panics if no port is free.
pub async fn serve_without_end() -> net::SocketAddr {
    accept_all(write_without_end).await
}

async fn write_without_end(mut stream: tokio::net::TcpStream) -> std::io::Result<()> {
    let mut head = [0; 4_096];
    if stream.read(&mut head).await? == 0 {
        return Ok(());
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n").await?;
    loop {
        stream.write_all(&[b' '; 8_192]).await?;
    }
}

/// Serves answers that begin with the text that `start` returns for the head of a request, and go on
/// without an end, on a free loopback port until the runtime ends.
///
/// # Panics
/// Panics if no port is free.
pub async fn serve_endless(
    start: impl Fn(&str) -> String + Send + Sync + 'static,
) -> net::SocketAddr {
    let start = sync::Arc::new(start);
    accept_all(move |mut stream| {
        let start = start.clone();
        async move {
            let Some(head) = read_request(&mut stream).await? else { return Ok(()) };
            let mut bytes = start(&head).into_bytes();
            // Ends when the peer closes the connection.
            loop {
                stream.write_all(&bytes).await?;
                bytes = vec![b'x'; 65_536];
            }
        }
    })
    .await
}

/// What a server writes for one request.
#[derive(Clone, Debug)]
pub struct Written {
    /// Bytes of the answer, or whatever takes its place.
    pub text: String,
    /// Whether the connection is closed afterwards.
    pub is_last: bool,
}

/// Serves on a free loopback port until the runtime ends, with connections that are kept. `answer` gets
/// the head of each request and the number of requests before it on its connection.
///
/// # Panics
/// Panics if no port is free.
pub async fn serve_kept(
    answer: impl Fn(&str, usize) -> Written + Send + Sync + 'static,
) -> net::SocketAddr {
    let answer = sync::Arc::new(answer);
    accept_all(move |mut stream| {
        let answer = answer.clone();
        async move {
            let mut number = 0;
            while let Some(head) = read_request(&mut stream).await? {
                let written = answer(&head, number);
                stream.write_all(written.text.as_bytes()).await?;
                if written.is_last {
                    break;
                }
                number += 1;
            }
            Ok(())
        }
    })
    .await
}
