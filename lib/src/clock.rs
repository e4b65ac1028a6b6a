//! One reading of both clocks, and the small trait through which shells take it.

use std::time;

/// Both clocks, read together.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Now {
    /// Time since an arbitrary fixed point; never runs backwards. It may stop while the instance is
    /// frozen, where the system has no clock that goes on.
    pub mono: time::Duration,
    /// Time since the Unix epoch; may jump.
    pub wall: time::Duration,
}

impl Now {
    /// Returns how much time has passed since `earlier` by whichever clock says more.
    ///
    /// A frozen instance stops the monotonic clock and a correction can set the wall clock
    /// back; a lease has to end as soon as either clock says so.
    pub fn elapsed_max(self, earlier: Self) -> time::Duration {
        let mono = self.mono.saturating_sub(earlier.mono);
        let wall = self.wall.saturating_sub(earlier.wall);
        mono.max(wall)
    }

    /// Returns both readings moved forward by `span`.
    #[must_use]
    pub fn after(self, span: time::Duration) -> Self {
        Self { mono: self.mono + span, wall: self.wall + span }
    }
}

/// A source of clock readings.
pub trait Clock {
    /// Reads both clocks.
    fn now(&self) -> Now;
}

/// The clocks of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: time::Duration,
}

/// Returns the time since boot, which counts the time for which the instance was suspended.
fn boot_time() -> time::Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    time::Duration::new(seconds, nanos)
}

impl SystemClock {
    /// Starts a monotonic clock at zero.
    pub fn new() -> Self {
        Self { start: boot_time() }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Now {
        let wall = time::SystemTime::now()
            .duration_since(time::UNIX_EPOCH)
            .unwrap_or(time::Duration::ZERO);
        Now { mono: boot_time().saturating_sub(self.start), wall }
    }
}
