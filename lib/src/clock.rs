//! Readings of the monotonic and the wall clock, and the trait through which shells take them.

use std::time;

/// Both clocks, read at the same moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Now {
    /// Monotonic time since an arbitrary fixed point. It may stand still while the instance is
    /// frozen, if the operating system has no clock that continues to run.
    pub mono: time::Duration,
    /// Time since the Unix epoch; may jump in both directions.
    pub wall: time::Duration,
}

impl Now {
    /// Returns the time since `earlier`, by the clock that advanced further.
    ///
    /// Freezing an instance stops the monotonic clock, and a correction can set the wall clock
    /// back. A lease has to end as soon as it is over by either clock.
    pub fn elapsed_max(self, earlier: Self) -> time::Duration {
        let mono = self.mono.saturating_sub(earlier.mono);
        let wall = self.wall.saturating_sub(earlier.wall);
        mono.max(wall)
    }

    /// Returns both readings advanced by `span`.
    #[must_use]
    pub fn after(self, span: time::Duration) -> Self {
        Self { mono: self.mono + span, wall: self.wall + span }
    }
}

/// A source of clock readings.
pub trait Clock {
    /// Reads both clocks at once.
    fn now(&self) -> Now;
}

/// Monotonic time at the start of a process. Leases that other processes pass on may have begun before.
const START_OFFSET: time::Duration = time::Duration::from_hours(1);

/// The clocks of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: time::Duration,
}

/// Returns the time since boot, including the time for which the instance was suspended.
fn boot_time() -> time::Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    time::Duration::new(seconds, nanos)
}

impl SystemClock {
    /// Makes a clock whose monotonic time starts at a fixed time above zero.
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
        Now { mono: START_OFFSET + boot_time().saturating_sub(self.start), wall }
    }
}
