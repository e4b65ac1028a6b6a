//! Calls of a sidecar to its upstream.

use std::net;
use std::time;

use http_body_util::BodyExt as _;
use tokio::sync::mpsc;

use crate::config;
use crate::event_stream;
use crate::http;
use crate::id;
use crate::order;
use crate::sidecar;
use crate::wire;

/// Header with the offset at which a resumed stream continues. The upstream echoes it.
pub const OFFSET_HEADER: &str = "stream-offset";
/// Header with the request's identifier.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Header with the time left for the call, in milliseconds.
pub const BUDGET_HEADER: &str = "x-budget-ms";
/// Header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the team that the request is charged to.
pub const TEAM_HEADER: &str = "x-team";
/// Last line of a stream in the style of `OpenAI`, with the end of the line before it.
const STREAM_END: &[u8] = b"\ndata: [DONE]";
/// Number of bytes at the end of a stream that are compared with [`STREAM_END`].
const TAIL_BYTES: usize = 32;

/// A call to the upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// Attempt that the call belongs to.
    pub attempt: id::AttemptId,
    /// Address of the upstream.
    pub address: net::SocketAddr,
    /// Path of the service at the upstream.
    pub path: String,
    /// JSON body.
    pub body: bytes::Bytes,
    /// Request that the attempt belongs to.
    pub request: id::RequestId,
    /// Team that the request is charged to.
    pub team: id::TeamId,
    /// The caller's idempotency key, without the team's prefix.
    pub key: Option<String>,
    /// Offset at which a resumed stream continues; 0 for a new call.
    pub offset: u64,
    /// Time left; a repeatable call is aborted when it has passed.
    pub budget: time::Duration,
    /// Whether the upstream may run the call more than once.
    pub repeatable: bool,
}

/// Part of the result of a call.
#[derive(Debug)]
pub enum Part {
    /// Status and media type of the answer.
    Head(wire::Head),
    /// Next bytes of the answer.
    Data(bytes::Bytes),
    /// The answer arrived whole; contains its HTTP status.
    End(u16),
    /// The call failed, possibly after a part of the answer.
    Failed(sidecar::CallError),
}

/// Makes a call and sends its result in parts. The last one is [`Part::End`] or [`Part::Failed`].
pub async fn run(client: http::Client, call: Call, parts: mpsc::Sender<(id::AttemptId, Part)>) {
    let attempt = call.attempt;
    let last = match try_call(&client, &call, &parts).await {
        Ok(status) => Part::End(status),
        Err(error) => {
            log::warn!("event=upstream_failed attempt={attempt} error={error:?}");
            Part::Failed(error)
        }
    };
    // Fails only when the process stops.
    let _ = parts.send((attempt, last)).await;
}

fn build_request(call: &Call) -> Result<hyper::Request<http::Body>, sidecar::CallError> {
    let mut request = hyper::Request::post(format!("http://{}{}", call.address, call.path))
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .header(REQUEST_HEADER, call.request.to_string())
        .header(BUDGET_HEADER, call.budget.as_millis().to_string())
        .header(TEAM_HEADER, call.team.as_str());
    if let Some(key) = &call.key {
        request = request.header(KEY_HEADER, key);
    }
    if call.offset > 0 {
        request = request.header(OFFSET_HEADER, call.offset.to_string());
    }
    request.body(http::Body::full(call.body.clone())).map_err(|_| sidecar::CallError::NotSent)
}

async fn try_call(
    client: &http::Client,
    call: &Call,
    parts: &mpsc::Sender<(id::AttemptId, Part)>,
) -> Result<u16, sidecar::CallError> {
    let response = client.request(build_request(call)?).await.map_err(|e| {
        if e.is_connect() { sidecar::CallError::NotSent } else { sidecar::CallError::Broken }
    })?;
    let status = response.status().as_u16();
    if !http::is_status(status) {
        return Err(sidecar::CallError::Broken);
    }
    check_offset(call, &response)?;
    let media = response.headers().get(hyper::header::CONTENT_TYPE);
    let media = media.and_then(|value| value.to_str().ok()).unwrap_or("application/octet-stream");
    let is_stream = media.starts_with(event_stream::MEDIA_TYPE);
    let head = wire::Head { status, media: media.to_owned() };
    send(parts, call.attempt, Part::Head(head)).await?;
    let tail = forward_body(response.into_body(), call.attempt, parts).await?;
    // A stream without its last event was truncated, even if the connection ended cleanly.
    if is_stream && !has_stream_end(&tail) {
        return Err(sidecar::CallError::Broken);
    }
    Ok(status)
}

/// Returns whether the last bytes of a stream are its last line and the blank line that ends an
/// event. The same text elsewhere in an event does not end the stream.
fn has_stream_end(tail: &[u8]) -> bool {
    // The last line may be the only one.
    let mut text = b"\n".to_vec();
    text.extend(tail.iter().filter(|byte| **byte != b'\r'));
    let lines = text.trim_ascii_end();
    lines.ends_with(STREAM_END) && text[lines.len()..].starts_with(b"\n\n")
}

/// Checks that the upstream resumes a stream at the requested offset. An upstream that does not
/// support resuming starts from the beginning and does not echo the offset.
fn check_offset(
    call: &Call,
    response: &hyper::Response<hyper::body::Incoming>,
) -> Result<(), sidecar::CallError> {
    if call.offset == 0 {
        return Ok(());
    }
    let echoed = response.headers().get(OFFSET_HEADER).and_then(|value| value.to_str().ok());
    if echoed.and_then(|text| text.parse().ok()) == Some(call.offset) {
        Ok(())
    } else {
        Err(sidecar::CallError::NotResumable)
    }
}

/// Sends the body on in parts and returns its last bytes.
async fn forward_body(
    mut body: hyper::body::Incoming,
    attempt: id::AttemptId,
    parts: &mpsc::Sender<(id::AttemptId, Part)>,
) -> Result<Vec<u8>, sidecar::CallError> {
    let mut tail = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| sidecar::CallError::Broken)?.into_data() else { continue };
        let recent = &data[data.len().saturating_sub(TAIL_BYTES)..];
        tail.extend_from_slice(recent);
        tail.drain(..tail.len().saturating_sub(TAIL_BYTES));
        send(parts, attempt, Part::Data(data)).await?;
    }
    Ok(tail)
}

/// Sends a part to the event loop.
async fn send(
    parts: &mpsc::Sender<(id::AttemptId, Part)>,
    attempt: id::AttemptId,
    part: Part,
) -> Result<(), sidecar::CallError> {
    parts.send((attempt, part)).await.map_err(|_| sidecar::CallError::Broken)
}

/// Path of the upstream that takes orders.
pub const ORDER_PATH: &str = "/orders";

/// Sends an order to the upstream and returns the result. The upstream answers with status 409 to a
/// fencing token that is outdated.
pub async fn send_order(
    client: http::Client,
    address: net::SocketAddr,
    token: id::FencingToken,
    order: config::Order,
) -> order::Reply {
    let body = serde_json::json!({ "token": token, "order": order });
    let request = http::post(address, ORDER_PATH, body.to_string());
    match http::with_timeout(order::ORDER_TIMEOUT, client.request(request)).await {
        Some(Ok(response)) if response.status().is_success() => order::Reply::Done(order),
        Some(Ok(response)) if response.status() == hyper::StatusCode::CONFLICT => {
            order::Reply::Outdated
        }
        _ => order::Reply::Failed,
    }
}
