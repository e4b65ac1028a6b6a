//! Calls of a gateway to upstreams. They transfer the bytes and report to the event loop how each
//! call ended.

mod silence;

use std::sync;
use std::time;

use http_body_util::BodyExt as _;
use tokio::sync::{Notify, mpsc};

use crate::cancellation;
use crate::clock;
use crate::clock::Clock as _;
use crate::dialect;
use crate::engine_pace;
use crate::event_stream;
use crate::fleet;
use crate::gateway;
use crate::gateway_http;
use crate::http;
use crate::memory_budget;
use crate::memory_budget::ledger;
use crate::upstream_notice;
use crate::upstream_pool;

/// Largest answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: u64 = 8 << 20;
/// Time within which an upstream has to acknowledge that it freed results.
const FREE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// An upstream's answer that is not a stream and has been received whole.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers as sent to the caller, without those that concern the upstream's connection.
    pub headers: hyper::HeaderMap,
    /// Body of at most `MAX_ANSWER_BYTES`.
    pub body: bytes::Bytes,
}

/// Message from a call to the event loop.
#[derive(Debug)]
pub enum CallReport {
    /// An event for the reducer.
    Event(gateway::Event),
    /// Answer of a call; sent before the event that reports the call's end.
    Answer(gateway::CallId, Answer),
}

/// Makes calls to upstreams and to other gateways; cloned for each call.
#[derive(Clone, Debug)]
pub struct UpstreamClient<D> {
    /// Headers and bodies of the platform's protocol.
    pub dialect: D,
    /// Connections to upstreams.
    pub pool: upstream_pool::Pool,
    /// Connections to other gateways, apart from those to upstreams.
    pub peers: upstream_pool::Pool,
    /// Memory for the answers of upstreams.
    pub budget: memory_budget::Budget,
    /// Paces of engines, to which each stream contributes.
    pub paces: engine_pace::SharedPaces,
    /// Clock of the paces.
    pub clock: clock::SystemClock,
    /// Channel to the event loop.
    pub reports: mpsc::Sender<CallReport>,
}

/// A caller's request as it arrived, with the place for its answer.
#[derive(Clone, Debug)]
pub struct OriginalRequest {
    /// Method, path and headers that the caller sent.
    pub head: sync::Arc<hyper::http::request::Parts>,
    /// Body that the caller sent; shared by all calls of the request.
    body: sync::Arc<sync::Mutex<bytes::Bytes>>,
    /// Where calls take the reply from; shared by all calls of the request.
    pub slot: gateway_http::ReplySlot,
    /// Whether the caller has disconnected.
    pub signal: cancellation::Signal,
}

impl OriginalRequest {
    /// Makes a request from its parts.
    pub fn new(
        head: sync::Arc<hyper::http::request::Parts>,
        body: bytes::Bytes,
        slot: gateway_http::ReplySlot,
        signal: cancellation::Signal,
    ) -> Self {
        Self { head, body: sync::Arc::new(sync::Mutex::new(body)), slot, signal }
    }

    fn body(&self) -> bytes::Bytes {
        self.body.lock().expect("no holder panics").clone()
    }

    /// Frees the body of a request that is not sent again.
    fn release_body(&self) {
        self.body.lock().expect("no holder panics").clear();
    }
}

/// How a call ended, and the load that the upstream reported if its answer had a head.
type CallResult = (gateway::Outcome, Option<fleet::Load>);

impl<D: dialect::Dialect> UpstreamClient<D> {
    /// Makes a client without connections.
    pub fn new(
        dialect: D,
        budget: memory_budget::Budget,
        paces: engine_pace::SharedPaces,
        clock: clock::SystemClock,
        reports: mpsc::Sender<CallReport>,
    ) -> Self {
        let pool = upstream_pool::Pool::default();
        let peers = upstream_pool::Pool::default();
        Self { dialect, pool, peers, budget, paces, clock, reports }
    }

    /// Sends an event to the event loop.
    pub async fn report(&self, event: gateway::Event) {
        // Fails only while the process stops.
        let _ = self.reports.send(CallReport::Event(event)).await;
    }

    /// Sends a request to an upstream, relays a streamed answer, and reports how the call ended. If the
    /// caller disconnects, it ends without a report: the event loop gets the cancellation itself. `end` is
    /// notified when a silent call has to end.
    pub async fn call(
        self,
        request_call: gateway::RequestCall,
        original: OriginalRequest,
        end: sync::Arc<Notify>,
    ) {
        let call = request_call.call;
        let mut signal = original.signal.clone();
        let mut watch = silence::Watch::new(&request_call, &self.reports, &end);
        let (outcome, load) = tokio::select! {
            biased;
            () = signal.cancelled() => return,
            ended = self.try_call(&request_call, &original, &mut watch) => ended,
        };
        self.report(gateway::Event::CallEnded { call, outcome, load }).await;
    }

    async fn try_call(
        &self,
        request_call: &gateway::RequestCall,
        original: &OriginalRequest,
        watch: &mut silence::Watch<'_>,
    ) -> CallResult {
        let last = request_call.last_event;
        let sent_at = self.clock.now().mono;
        let broken = |cause| (gateway::Outcome::Broken { last, cause }, None);
        let request = self.build_request(request_call, original);
        let sent = self.pool.send(request_call.address, request_call.max_connections, request);
        let (response, connection) = match watch.wait(sent).await {
            None | Some(Err(upstream_pool::SendError::TimedOut)) => {
                return broken(gateway::BreakCause::Timeout);
            }
            Some(Err(upstream_pool::SendError::Broken)) => {
                return broken(gateway::BreakCause::ConnectionLost);
            }
            Some(Err(upstream_pool::SendError::Unsent)) => return (gateway::Outcome::Unsent, None),
            Some(Ok(answered)) => answered,
        };
        let status = response.status().as_u16();
        if !http::is_status(status) {
            return broken(gateway::BreakCause::Invalid);
        }
        let instance = &request_call.instance;
        let head = self.dialect.read_answer(&original.head, instance, status, response.headers());
        let process = upstream_notice::Process {
            instance: request_call.instance.clone(),
            started_ms: request_call.started_ms,
        };
        // The answer belongs to an earlier request on the connection, or to none. Dropping the connection
        // also drops the answer that is still to come.
        if head.is_mismatched {
            return broken(gateway::BreakCause::Invalid);
        }
        self.report_notice(process, &head, sent_at, request_call.is_limited).await;
        if head.not_run || head.wrong_instance {
            let outcome = gateway::Outcome::NotRun {
                elsewhere: head.wrong_instance,
                inputs_gone: status == 409,
            };
            // The connection is not used again: the upstream may write the refusal once more in
            // place of its next answer, which may even be to the same request.
            return (outcome, head.load);
        }
        // A success without the upstream's mark is not the upstream's answer.
        if status < 300 && !head.is_sealed {
            return broken(gateway::BreakCause::Invalid);
        }
        // The request has run, so only kinds that may run again are sent again.
        if !request_call.kind.is_repeatable() {
            original.release_body();
        }
        if request_call.kind.is_stream() && status == 200 {
            let outcome = self.relay(request_call, original, response, connection, watch).await;
            return (outcome, head.load);
        }
        watch.record_progress().await;
        let (parts, body) = response.into_parts();
        let time_left = request_call.budget;
        let read = http::read_body_within(body, MAX_ANSWER_BYTES, time_left, &self.budget).await;
        let body = match read {
            Ok(body) => body,
            Err(e) => return broken(break_cause(e)),
        };
        if let Some(cause) = find_break(&parts.headers, &body) {
            return broken(cause);
        }
        connection.release();
        let headers = self.dialect.answer_headers(&parts.headers);
        let answer = Answer { status, headers, body };
        let _ = self.reports.send(CallReport::Answer(request_call.call, answer)).await;
        (gateway::Outcome::Answered { status }, head.load)
    }

    /// Reads the head of the answer to a message of this gateway's own, and reports what it states
    /// about the upstream.
    async fn read_message_head(
        &self,
        process: upstream_notice::Process,
        response: &hyper::Response<hyper::body::Incoming>,
        sent_at: time::Duration,
        is_limited: bool,
    ) -> dialect::AnswerHead {
        let empty = hyper::Request::new(()).into_parts().0;
        let status = response.status().as_u16();
        let head = self.dialect.read_answer(&empty, &process.instance, status, response.headers());
        self.report_notice(process, &head, sent_at, is_limited).await;
        head
    }

    /// Reports what an answer states about the process that gave it. This does not wait for the end
    /// of the answer, which may be a long stream. `is_limited` says whether the upstream stated a limit
    /// when the call was sent.
    async fn report_notice(
        &self,
        process: upstream_notice::Process,
        head: &dialect::AnswerHead,
        sent_at: time::Duration,
        is_limited: bool,
    ) {
        let notice = head.notice;
        // The end of a limit is stated by its absence.
        if (is_limited || !notice.is_empty()) && !head.wrong_instance {
            self.report(gateway::Event::UpstreamNoticed { process, notice, sent_at }).await;
        }
    }

    fn build_request(
        &self,
        request_call: &gateway::RequestCall,
        original: &OriginalRequest,
    ) -> hyper::Request<http::Body> {
        let mut request = hyper::Request::new(http::Body::full(original.body()));
        *request.method_mut() = original.head.method.clone();
        *request.uri_mut() = original.head.uri.clone();
        *request.headers_mut() = self.dialect.request_headers(&original.head, request_call);
        request
    }

    /// Relays a stream to the caller, whole events only.
    async fn relay(
        &self,
        request_call: &gateway::RequestCall,
        original: &OriginalRequest,
        response: hyper::Response<hyper::body::Incoming>,
        connection: upstream_pool::PooledConnection,
        watch: &mut silence::Watch<'_>,
    ) -> gateway::Outcome {
        let mut splitter = event_stream::Splitter::resume_after(request_call.last_event);
        let mut share = self.budget.share(ledger::Purpose::Receiving, None);
        let (parts, mut body) = response.into_parts();
        let mut stream = None;
        let mut pace = StreamPace::default();
        let outcome = loop {
            let step = StreamStep::from_frame(watch.wait(body.frame()).await);
            let last = splitter.last_id();
            let broken = |cause| gateway::Outcome::Broken { last, cause };
            let data = match step {
                StreamStep::Data(data) => data,
                StreamStep::End if splitter.is_inside_event() => {
                    break broken(gateway::BreakCause::InsideEvent);
                }
                StreamStep::End if stream.is_none() && ends_with_connection(&parts.headers) => {
                    break broken(gateway::BreakCause::ConnectionLost);
                }
                StreamStep::End => break gateway::Outcome::Ended,
                StreamStep::Broken(cause) => break broken(cause),
            };
            let Ok(events) = splitter.push(&data) else {
                break broken(gateway::BreakCause::Invalid);
            };
            let held = splitter.held_bytes() + events.as_ref().map_or(0, bytes::Bytes::len);
            if share.resize(held).is_err() {
                break broken(gateway::BreakCause::Invalid);
            }
            let Some(events) = events else { continue };
            pace.record(splitter.last_id());
            if stream.is_none() {
                stream = self.begin_stream(request_call, original, &parts).await;
            }
            let Some(out) = &mut stream else { break broken(gateway::BreakCause::CallerGone) };
            if !out.send(events).await {
                break broken(gateway::BreakCause::CallerGone);
            }
            // Bytes that complete no event are no progress.
            watch.record_progress().await;
        };
        let now = self.clock.now().mono;
        let (events, took) = pace.measured();
        self.paces.with(|paces| paces.record_stream(now, &request_call.instance, events, took));
        self.end_relay(request_call, original, &parts, stream, &mut splitter, connection, outcome)
            .await
    }

    /// Finishes a stream that ended whole. A stream that broke off goes back into its slot, so that
    /// another call can continue it.
    #[expect(clippy::too_many_arguments, reason = "takes over all that the relay holds")]
    async fn end_relay(
        &self,
        request_call: &gateway::RequestCall,
        original: &OriginalRequest,
        parts: &hyper::http::response::Parts,
        mut stream: Option<gateway_http::Stream>,
        splitter: &mut event_stream::Splitter,
        connection: upstream_pool::PooledConnection,
        outcome: gateway::Outcome,
    ) -> gateway::Outcome {
        if outcome != gateway::Outcome::Ended {
            if let Some(stream) = stream {
                gateway_http::put_reply(&original.slot, gateway_http::Reply::Streaming(stream));
            }
            return outcome;
        }
        let rest = splitter.rest();
        if stream.is_none() {
            stream = self.begin_stream(request_call, original, parts).await;
        }
        let Some(mut stream) = stream else {
            let cause = gateway::BreakCause::CallerGone;
            return gateway::Outcome::Broken { last: splitter.last_id(), cause };
        };
        if !rest.is_empty() {
            stream.send(rest).await;
        }
        stream.finish(&original.signal);
        connection.release();
        outcome
    }

    /// Begins the stream to the caller, or takes over the one that an earlier call began. Returns
    /// `None` if another call has taken it or the caller has disconnected.
    async fn begin_stream(
        &self,
        request_call: &gateway::RequestCall,
        original: &OriginalRequest,
        parts: &hyper::http::response::Parts,
    ) -> Option<gateway_http::Stream> {
        let stream = match gateway_http::take_reply(&original.slot)? {
            gateway_http::Reply::Streaming(stream) => stream,
            gateway_http::Reply::NotStarted(reply) => {
                let (stream, body) = gateway_http::Stream::new();
                let mut response = hyper::Response::new(body);
                *response.status_mut() = parts.status;
                *response.headers_mut() = self.dialect.answer_headers(&parts.headers);
                response.headers_mut().remove(hyper::header::CONTENT_LENGTH);
                reply.send(response).ok()?;
                stream
            }
        };
        self.report(gateway::Event::AnswerStarted(request_call.call)).await;
        Some(stream)
    }

    /// Sends a batch of pieces to an upstream and reports how the batch ended.
    pub async fn run_batch(self, call: gateway::BatchCall) {
        let batch = call.batch;
        let work = self.try_run_batch(&call);
        let (outcome, load) = http::with_timeout(call.timeout, work)
            .await
            .unwrap_or((gateway::BatchOutcome::Broken, None));
        self.report(gateway::Event::BatchEnded { batch, outcome, load }).await;
    }

    async fn try_run_batch(
        &self,
        call: &gateway::BatchCall,
    ) -> (gateway::BatchOutcome, Option<fleet::Load>) {
        let message = self.dialect.write_batch(call);
        let request = post(call.address, message);
        let sent_at = self.clock.now().mono;
        let sent = self.pool.send(call.address, call.max_connections, request).await;
        let Ok((response, mut connection)) = sent else {
            return (gateway::BatchOutcome::Broken, None);
        };
        let status = response.status().as_u16();
        let process = upstream_notice::Process {
            instance: call.instance.clone(),
            started_ms: call.started_ms,
        };
        let head = self.read_message_head(process, &response, sent_at, call.is_limited).await;
        if status != 200 {
            // The connection is not used again, for the same reason as after a refused request.
            let outcome = match (head.wrong_instance, head.not_run) {
                (true, _) => gateway::BatchOutcome::WrongInstance,
                (_, true) => gateway::BatchOutcome::Full,
                _ => gateway::BatchOutcome::Broken,
            };
            return (outcome, head.load);
        }
        let body = response.into_body();
        let read = http::read_body_within(body, MAX_ANSWER_BYTES, call.timeout, &self.budget).await;
        let Ok(body) = read else { return (gateway::BatchOutcome::Broken, head.load) };
        // An upstream may answer a call twice. The second answer must not be taken for the answer
        // to the next call on the connection.
        if connection.is_duplicate(&body) {
            return (gateway::BatchOutcome::Broken, head.load);
        }
        match self.dialect.read_batch(&body) {
            Ok(outcomes) if outcomes.len() == call.items.len() => {
                connection.release();
                (gateway::BatchOutcome::Done(outcomes), head.load)
            }
            Ok(_) | Err(_) => {
                log::warn!(
                    "event=batch_unreadable batch={} upstream={}",
                    call.batch,
                    call.instance
                );
                (gateway::BatchOutcome::Broken, head.load)
            }
        }
    }

    /// Frees results at an upstream. If that fails, they expire there.
    pub async fn free_results(
        self,
        process: upstream_notice::Process,
        address: std::net::SocketAddr,
        handles: Vec<gateway::Handle>,
    ) {
        let instance = process.instance.clone();
        let message = self.dialect.write_free(&instance, &handles);
        let request = post(address, message);
        let sent_at = self.clock.now().mono;
        let sent = self.pool.send(address, u32::MAX, request);
        match http::with_timeout(FREE_TIMEOUT, sent).await {
            Some(Ok((response, connection))) => {
                let is_freed = response.status().is_success();
                self.read_message_head(process, &response, sent_at, false).await;
                if is_freed {
                    discard_body(response, connection).await;
                    self.report(gateway::Event::ResultsFreed { instance, handles }).await;
                }
            }
            _ => log::info!("event=free_failed upstream={instance} results={}", handles.len()),
        }
    }
}

fn post(address: std::net::SocketAddr, message: dialect::Message) -> hyper::Request<http::Body> {
    let mut request = hyper::Request::new(http::Body::full(message.body));
    *request.method_mut() = hyper::Method::POST;
    *request.uri_mut() = hyper::Uri::from_static(message.path);
    *request.headers_mut() = message.headers;
    let host = hyper::header::HeaderValue::from_str(&address.to_string())
        .expect("an address is a header value");
    request.headers_mut().insert(hyper::header::HOST, host);
    request
}

/// Returns whether an answer has neither a length nor chunks, so that the end of its connection is
/// the only sign of its end.
fn ends_with_connection(headers: &hyper::HeaderMap) -> bool {
    !headers.contains_key(hyper::header::CONTENT_LENGTH)
        && !headers.contains_key(hyper::header::TRANSFER_ENCODING)
}

/// Returns why an answer that was read to its end is no complete stream; `None` if it is one or is
/// no stream. An event without its end, or a connection that ends before the first event, shows
/// that the upstream broke off.
fn find_break(headers: &hyper::HeaderMap, body: &[u8]) -> Option<gateway::BreakCause> {
    let media = headers.get(hyper::header::CONTENT_TYPE)?;
    if !media.as_bytes().starts_with(event_stream::MEDIA_TYPE.as_bytes()) {
        return None;
    }
    let mut splitter = event_stream::Splitter::default();
    match splitter.push(body) {
        Err(_) => Some(gateway::BreakCause::Invalid),
        Ok(_) if splitter.is_inside_event() => Some(gateway::BreakCause::InsideEvent),
        Ok(None) if ends_with_connection(headers) => Some(gateway::BreakCause::ConnectionLost),
        Ok(_) => None,
    }
}

/// Returns why an answer could not be read whole.
fn break_cause(error: http::ReadError) -> gateway::BreakCause {
    match error {
        http::ReadError::TooLarge | http::ReadError::OverBudget => gateway::BreakCause::Invalid,
        http::ReadError::Timeout => gateway::BreakCause::Timeout,
        http::ReadError::Incomplete => gateway::BreakCause::ConnectionLost,
    }
}

/// Times of the first and the latest event of a stream.
#[derive(Debug, Default)]
struct StreamPace {
    first: Option<(u64, time::Instant)>,
    last: Option<(u64, time::Instant)>,
}

impl StreamPace {
    /// Records that all events up to the one with the given id were received.
    fn record(&mut self, last_id: Option<u64>) {
        let Some(id) = last_id else { return };
        let event = (id, time::Instant::now());
        self.first.get_or_insert(event);
        self.last = Some(event);
    }

    /// Returns the number of events and the time between the first and the last one.
    fn measured(&self) -> (u64, time::Duration) {
        let (Some((first, begun)), Some((last, ended))) = (self.first, self.last) else {
            return (0, time::Duration::ZERO);
        };
        (last.saturating_sub(first) + 1, ended.saturating_duration_since(begun))
    }
}

/// Result of reading from a stream.
enum StreamStep {
    /// The next bytes.
    Data(bytes::Bytes),
    /// The stream ended whole.
    End,
    /// The stream broke off, or no bytes arrived in time.
    Broken(gateway::BreakCause),
}

/// Frame of a body; `None` if it did not arrive in time, `Some(None)` at the end of the body.
type Frame = Option<Result<hyper::body::Frame<bytes::Bytes>, hyper::Error>>;

impl StreamStep {
    fn from_frame(frame: Option<Frame>) -> Self {
        match frame {
            None => Self::Broken(gateway::BreakCause::Timeout),
            Some(Some(Err(e))) if http::is_timed_out(&e) => {
                Self::Broken(gateway::BreakCause::Timeout)
            }
            Some(Some(Err(_))) => Self::Broken(gateway::BreakCause::ConnectionLost),
            Some(None) => Self::End,
            Some(Some(Ok(frame))) => Self::Data(frame.into_data().unwrap_or_default()),
        }
    }
}

/// Reads and discards the short body of an answer that is not relayed, so that its connection can
/// be reused.
pub async fn discard_body(
    response: hyper::Response<hyper::body::Incoming>,
    connection: upstream_pool::PooledConnection,
) {
    if http::skip_body(response.into_body(), MAX_ANSWER_BYTES, FREE_TIMEOUT).await {
        connection.release();
    }
}
