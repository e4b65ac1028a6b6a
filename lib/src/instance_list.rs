//! Watches the platform's instance list and counts the registered entries.

use std::time;

use http_body_util::BodyExt as _;
use tokio::sync::mpsc;

use crate::http;
use crate::membership;
use crate::registry;
use crate::store;

/// Interval at which a watched list is read anew, in case its watch stopped working unnoticed.
const REREAD_INTERVAL: time::Duration = time::Duration::from_mins(5);
/// Average pause between two reads of the list, and time without changes after which a watched list
/// is sent again.
const LIST_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Pause between two counts of the entries.
const COUNT_INTERVAL: time::Duration = time::Duration::from_secs(30);
/// Maximum size of an instance list.
const MAX_LIST_BYTES: u64 = 8 << 20;
/// Time limit for a response of the platform.
const LIST_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Sends the instance list, complete each time, until the receiver is dropped. If the list cannot
/// be watched, it is read periodically.
pub async fn follow_list(
    url: String,
    lists: mpsc::Sender<membership::Instances>,
    mut rng: fastrand::Rng,
) {
    let client = http::client(true);
    loop {
        match fetch_list(&client, &url).await {
            Ok(slices) => {
                if lists.send(slices.instances()).await.is_err() {
                    return;
                }
                if !slices.version().is_empty()
                    && let Err(message) = watch_list(&client, &url, slices, &lists).await
                {
                    log::info!("event=list_watch_ended url={url} reason={message:?}");
                }
            }
            // The instances of the last list stay in use.
            Err(message) => log::warn!("event=list_failed url={url} error={message:?}"),
        }
        tokio::time::sleep(LIST_INTERVAL.mul_f64(rng.f64() + 0.5)).await;
    }
}

async fn get(
    client: &http::Client,
    url: &str,
) -> Result<hyper::Response<hyper::body::Incoming>, String> {
    let request = hyper::Request::get(url).body(http::Body::full("")).map_err(|e| e.to_string())?;
    let response = http::with_timeout(LIST_TIMEOUT, client.request(request))
        .await
        .ok_or("no answer in time")?
        .map_err(|e| e.to_string())?;
    if response.status() != 200 {
        return Err(format!("status {}", response.status()));
    }
    Ok(response)
}

async fn fetch_list(
    client: &http::Client,
    url: &str,
) -> Result<membership::EndpointSlices, String> {
    let response = get(client, url).await?;
    let body = http::read_body(response.into_body(), MAX_LIST_BYTES, LIST_TIMEOUT).await;
    membership::EndpointSlices::parse(&body.map_err(|e| e.to_string())?).map_err(|e| e.to_string())
}

/// Sends the list after each change, and again if there was none for a while, until its watch ends
/// or the list is due to be read anew.
async fn watch_list(
    client: &http::Client,
    url: &str,
    mut slices: membership::EndpointSlices,
    lists: &mpsc::Sender<membership::Instances>,
) -> Result<(), String> {
    let separator = if url.contains('?') { '&' } else { '?' };
    let watch = format!("{url}{separator}watch=true&resourceVersion={}", slices.version());
    let mut body = get(client, &watch).await?.into_body();
    let mut buffer = bytes::BytesMut::new();
    let deadline = tokio::time::Instant::now() + REREAD_INTERVAL;
    while tokio::time::Instant::now() < deadline {
        // The unchanged list is sent again, so that the receiver notices how much time has passed
        // since instances disappeared from it.
        match http::with_timeout(LIST_INTERVAL, body.frame()).await {
            None => {}
            Some(Some(Ok(frame))) => {
                buffer.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
                apply_lines(&mut buffer, &mut slices)?;
            }
            Some(_) => return Err("the connection ended".to_owned()),
        }
        if lists.send(slices.instances()).await.is_err() {
            return Ok(());
        }
    }
    Ok(())
}

/// Applies the complete lines in the buffer, each of which is one event of the watch.
fn apply_lines(
    buffer: &mut bytes::BytesMut,
    slices: &mut membership::EndpointSlices,
) -> Result<(), String> {
    while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
        let line = buffer.split_to(end + 1);
        slices.apply(&line).map_err(|e| e.to_string())?;
    }
    if buffer.len() as u64 > MAX_LIST_BYTES {
        return Err("an event is too long".to_owned());
    }
    Ok(())
}

/// Sends the number of registered entries periodically until the receiver is dropped.
pub async fn count_entries<S: store::Store>(store: S, counts: mpsc::Sender<u32>) {
    let prefix = registry::role_prefix(registry::Role::Entry);
    loop {
        // While the store is unavailable, the last count stays in use.
        if let Ok(count) = store.count(&prefix).await {
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            if counts.send(count).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(COUNT_INTERVAL).await;
    }
}
