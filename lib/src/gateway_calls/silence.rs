//! Waits for the answer of an upstream that may fall silent.
//!
//! A sound upstream may pause for a second or so and go on. So a call that makes no progress does not end
//! by itself: it tells the event loop, which knows whether another upstream can take over, and waits until
//! it is told to end. Only `gateway_calls` imports this module.

use std::future;
use std::time;

use tokio::sync::{Notify, mpsc};

use crate::gateway;
use crate::gateway_calls;

/// Interval at which a call that stays silent tells the event loop so again.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Follows the progress of one call.
#[derive(Debug)]
pub struct Watch<'a> {
    call: gateway::CallId,
    patience: gateway::Patience,
    reports: &'a mpsc::Sender<gateway_calls::CallReport>,
    end: &'a Notify,
    /// When the request's time is over.
    deadline: tokio::time::Instant,
    /// When the event loop is told next that there was no progress.
    next_report: tokio::time::Instant,
    is_silent: bool,
}

impl<'a> Watch<'a> {
    /// Makes the watch of a call that is sent now. `end` is notified when the call has to end.
    pub fn new(
        call: &gateway::RequestCall,
        reports: &'a mpsc::Sender<gateway_calls::CallReport>,
        end: &'a Notify,
    ) -> Self {
        let now = tokio::time::Instant::now();
        Self {
            call: call.call,
            patience: call.patience,
            reports,
            end,
            deadline: now + call.budget,
            next_report: now + call.patience.start,
            is_silent: false,
        }
    }

    /// Waits for a part of the answer; `None` if the call has to end, because it was told to or its time
    /// is over.
    pub async fn wait<T>(&mut self, part: impl future::Future<Output = T>) -> Option<T> {
        tokio::pin!(part);
        loop {
            tokio::select! {
                biased;
                part = &mut part => return Some(part),
                () = self.end.notified() => return None,
                // One timer, as this runs for each event of a stream.
                () = tokio::time::sleep_until(self.deadline.min(self.next_report)) => {}
            }
            if self.deadline <= self.next_report {
                return None;
            }
            self.is_silent = true;
            self.next_report += REPORT_INTERVAL;
            self.report(gateway::Event::CallSilent(self.call)).await;
        }
    }

    /// Records that the answer made progress.
    pub async fn record_progress(&mut self) {
        self.next_report = tokio::time::Instant::now() + self.patience.gap;
        if std::mem::take(&mut self.is_silent) {
            self.report(gateway::Event::CallResumed(self.call)).await;
        }
    }

    async fn report(&self, event: gateway::Event) {
        // Fails only while the process stops.
        let _ = self.reports.send(gateway_calls::CallReport::Event(event)).await;
    }
}
