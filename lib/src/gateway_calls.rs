//! Calls of a gateway to upstreams: they move bytes and tell the loop how each call ended.

use std::sync;
use std::time;

use http_body_util::BodyExt as _;
use tokio::sync::mpsc;

use crate::dialect;
use crate::event_stream;
use crate::fleet;
use crate::gateway;
use crate::gateway_http;
use crate::http;
use crate::id;
use crate::upstream_pool;

/// Largest answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: u64 = 8 << 20;
/// Time that an upstream has to acknowledge freed results.
const FREE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// A whole answer that is not a stream.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its headers, as the caller gets them.
    pub headers: hyper::HeaderMap,
    /// Its body.
    pub body: bytes::Bytes,
}

/// What calls tell the loop.
#[derive(Debug)]
pub enum CallReport {
    /// An event for the reducer.
    Event(gateway::Event),
    /// A whole answer, before the event that tells of it.
    Answer(gateway::CallId, Answer),
}

/// What all calls share.
#[derive(Clone, Debug)]
pub struct UpstreamClient<D> {
    /// Names of the wire.
    pub dialect: D,
    /// Connections to upstreams.
    pub pool: upstream_pool::Pool,
    /// Connections to other gateways.
    pub peers: upstream_pool::Pool,
    /// Way to the loop.
    pub reports: mpsc::Sender<CallReport>,
}

/// What a call needs of its request.
#[derive(Clone, Debug)]
pub struct OriginalRequest {
    /// Its head.
    pub head: sync::Arc<hyper::http::request::Parts>,
    /// Its body.
    pub body: bytes::Bytes,
    /// Where the answer goes.
    pub slot: gateway_http::ReplySlot,
}

type CallResult = (gateway::Outcome, Option<fleet::Load>);

impl<D: dialect::Dialect> UpstreamClient<D> {
    /// Tells the loop of an event.
    pub async fn report(&self, event: gateway::Event) {
        // Fails only while the process ends.
        let _ = self.reports.send(CallReport::Event(event)).await;
    }

    /// Sends a request to an upstream and passes its answer on.
    pub async fn call(self, send: gateway::RequestCall, origin: OriginalRequest) {
        let call = send.call;
        let (outcome, load) = self.try_call(&send, &origin).await;
        self.report(gateway::Event::CallEnded { call, outcome, load }).await;
    }

    async fn try_call(&self, send: &gateway::RequestCall, origin: &OriginalRequest) -> CallResult {
        let broken = (gateway::Outcome::Broken { last: send.last_event }, None);
        let started = time::Instant::now();
        let request = self.request(send, origin);
        let sent = self.pool.send(send.address, send.max_connections, request);
        let (response, lease) = match http::with_timeout(send.timeout, sent).await {
            None | Some(Err(upstream_pool::SendError::Broken)) => return broken,
            Some(Err(upstream_pool::SendError::Unsent)) => return (gateway::Outcome::Unsent, None),
            Some(Ok(answered)) => answered,
        };
        let status = response.status().as_u16();
        let head = self.dialect.read_answer(&origin.head, status, response.headers());
        if head.is_mismatched {
            return broken;
        }
        if head.not_run || head.wrong_instance {
            let outcome = gateway::Outcome::NotRun {
                elsewhere: head.wrong_instance,
                inputs_gone: status == 409,
            };
            discard_body(response, lease).await;
            return (outcome, head.load);
        }
        if status < 300 && !head.is_sealed {
            return broken;
        }
        if send.kind.is_stream() && status == 200 {
            let left = send.timeout.saturating_sub(started.elapsed());
            let outcome = self.relay(send, origin, response, lease, left).await;
            return (outcome, head.load);
        }
        let (parts, body) = response.into_parts();
        let read = http::read_body(body, MAX_ANSWER_BYTES, send.budget).await;
        let Ok(body) = read else { return broken };
        lease.release();
        let headers = self.dialect.answer_headers(&parts.headers);
        let answer = Answer { status, headers, body };
        let _ = self.reports.send(CallReport::Answer(send.call, answer)).await;
        (gateway::Outcome::Answered { status }, head.load)
    }

    fn request(
        &self,
        send: &gateway::RequestCall,
        origin: &OriginalRequest,
    ) -> hyper::Request<http::Body> {
        let mut request = hyper::Request::new(http::Body::full(origin.body.clone()));
        *request.method_mut() = origin.head.method.clone();
        *request.uri_mut() = origin.head.uri.clone();
        *request.headers_mut() = self.dialect.request_headers(&origin.head, send);
        request
    }

    /// Passes a stream on, whole events only.
    async fn relay(
        &self,
        send: &gateway::RequestCall,
        origin: &OriginalRequest,
        response: hyper::Response<hyper::body::Incoming>,
        lease: upstream_pool::PooledConnection,
        first: time::Duration,
    ) -> gateway::Outcome {
        let mut splitter = event_stream::Splitter::resume_after(send.last_event);
        let (parts, mut body) = response.into_parts();
        let mut stream = None;
        let mut patience = first;
        let outcome = loop {
            let step = match &mut stream {
                None => StreamStep::of(http::with_timeout(patience, body.frame()).await),
                Some(out) => read_or_caller_gone(out, &mut body, patience).await,
            };
            let broken = gateway::Outcome::Broken { last: splitter.last() };
            let data = match step {
                StreamStep::Data(data) => data,
                StreamStep::End => break gateway::Outcome::Ended,
                StreamStep::Broken => break broken,
                StreamStep::CallerGone => {
                    self.report(gateway::Event::CallerGone(send.request)).await;
                    break broken;
                }
            };
            let Ok(events) = splitter.push(&data) else { break broken };
            let Some(events) = events else { continue };
            if stream.is_none() {
                stream = self.begin(send, origin, &parts).await;
                patience = gap_patience(send);
            }
            let Some(out) = &mut stream else { break broken };
            if !out.send(events).await {
                self.report(gateway::Event::CallerGone(send.request)).await;
                break broken;
            }
        };
        self.end_relay(send, origin, &parts, stream, &mut splitter, lease, outcome).await
    }

    #[expect(clippy::too_many_arguments, reason = "everything that the relay holds ends here")]
    async fn end_relay(
        &self,
        send: &gateway::RequestCall,
        origin: &OriginalRequest,
        parts: &hyper::http::response::Parts,
        mut stream: Option<gateway_http::Stream>,
        splitter: &mut event_stream::Splitter,
        lease: upstream_pool::PooledConnection,
        outcome: gateway::Outcome,
    ) -> gateway::Outcome {
        if outcome != gateway::Outcome::Ended {
            if let Some(stream) = stream {
                gateway_http::put_reply(&origin.slot, gateway_http::Reply::Streaming(stream));
            }
            return outcome;
        }
        let rest = splitter.rest();
        if stream.is_none() {
            stream = self.begin(send, origin, parts).await;
        }
        let Some(mut stream) = stream else {
            return gateway::Outcome::Broken { last: splitter.last() };
        };
        if !rest.is_empty() {
            stream.send(rest).await;
        }
        stream.finish();
        lease.release();
        outcome
    }

    /// Begins the caller's answer, or goes on with the one that another call began.
    async fn begin(
        &self,
        send: &gateway::RequestCall,
        origin: &OriginalRequest,
        parts: &hyper::http::response::Parts,
    ) -> Option<gateway_http::Stream> {
        let stream = match gateway_http::take_reply(&origin.slot)? {
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
        self.report(gateway::Event::AnswerStarted(send.call)).await;
        Some(stream)
    }

    /// Sends a batch of pieces to an upstream.
    pub async fn run(self, run: gateway::BatchCall) {
        let batch = run.batch;
        let work = self.try_run(&run);
        let (outcome, load) = http::with_timeout(run.timeout, work)
            .await
            .unwrap_or((gateway::BatchOutcome::Broken, None));
        self.report(gateway::Event::BatchEnded { batch, outcome, load }).await;
    }

    async fn try_run(
        &self,
        run: &gateway::BatchCall,
    ) -> (gateway::BatchOutcome, Option<fleet::Load>) {
        let message = self.dialect.write_batch(run);
        let request = post(run.address, message);
        let sent = self.pool.send(run.address, run.max_connections, request).await;
        let Ok((response, mut lease)) = sent else {
            return (gateway::BatchOutcome::Broken, None);
        };
        let status = response.status().as_u16();
        let empty = hyper::Request::new(()).into_parts().0;
        let head = self.dialect.read_answer(&empty, status, response.headers());
        if status != 200 {
            discard_body(response, lease).await;
            let outcome = match (head.wrong_instance, head.not_run) {
                (true, _) => gateway::BatchOutcome::WrongInstance,
                (_, true) => gateway::BatchOutcome::Full,
                _ => gateway::BatchOutcome::Broken,
            };
            return (outcome, head.load);
        }
        let read = http::read_body(response.into_body(), MAX_ANSWER_BYTES, run.timeout).await;
        let Ok(body) = read else { return (gateway::BatchOutcome::Broken, head.load) };
        // An upstream may answer a call twice; the second answer must not pass for the next one's.
        if lease.is_duplicate(&body) {
            return (gateway::BatchOutcome::Broken, head.load);
        }
        match self.dialect.read_batch(&body) {
            Ok(outcomes) if outcomes.len() == run.items.len() => {
                lease.release();
                (gateway::BatchOutcome::Done(outcomes), head.load)
            }
            Ok(_) | Err(_) => {
                log::warn!("event=batch_unreadable batch={} upstream={}", run.batch, run.instance);
                (gateway::BatchOutcome::Broken, head.load)
            }
        }
    }

    /// Frees results at an upstream; they vanish by themselves if that fails.
    pub async fn free(
        self,
        instance: id::InstanceId,
        address: std::net::SocketAddr,
        handles: Vec<gateway::Handle>,
    ) {
        let message = self.dialect.write_free(&instance, &handles);
        let request = post(address, message);
        let sent = self.pool.send(address, u32::MAX, request);
        match http::with_timeout(FREE_TIMEOUT, sent).await {
            Some(Ok((response, lease))) => {
                let is_freed = response.status().is_success();
                discard_body(response, lease).await;
                if is_freed {
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

/// Time without an event after which a stream is continued elsewhere, if that is allowed.
const GAP_TIME: time::Duration = time::Duration::from_millis(900);

fn gap_patience(send: &gateway::RequestCall) -> time::Duration {
    match send.kind {
        crate::table::RequestKind::Resumable if send.timeout < send.budget => GAP_TIME,
        _ => send.budget,
    }
}

/// What comes next in a stream.
enum StreamStep {
    /// Bytes.
    Data(bytes::Bytes),
    /// The stream is whole.
    End,
    /// It broke off, or nothing came in time.
    Broken,
    /// The caller went away.
    CallerGone,
}

type Frame = Option<Result<hyper::body::Frame<bytes::Bytes>, hyper::Error>>;

impl StreamStep {
    fn of(frame: Option<Frame>) -> Self {
        match frame {
            None | Some(Some(Err(_))) => Self::Broken,
            Some(None) => Self::End,
            Some(Some(Ok(frame))) => Self::Data(frame.into_data().unwrap_or_default()),
        }
    }
}

/// Reads the next bytes; ends early if the caller goes away.
async fn read_or_caller_gone(
    out: &mut gateway_http::Stream,
    body: &mut hyper::body::Incoming,
    patience: time::Duration,
) -> StreamStep {
    tokio::select! {
        biased;
        frame = http::with_timeout(patience, body.frame()) => StreamStep::of(frame),
        () = out.closed() => StreamStep::CallerGone,
    }
}

/// Reads the short body of an answer that is not passed on, so that its connection can be reused.
pub async fn discard_body(
    response: hyper::Response<hyper::body::Incoming>,
    lease: upstream_pool::PooledConnection,
) {
    let body = http::read_body(response.into_body(), MAX_ANSWER_BYTES, FREE_TIMEOUT).await;
    if body.is_ok() {
        lease.release();
    }
}
