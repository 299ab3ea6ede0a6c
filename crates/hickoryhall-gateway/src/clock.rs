//! Clock that shows how long a host was suspended.

use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// Clock that, unlike [`Instant::now`], keeps counting while the host is suspended.
pub(crate) struct SuspendAwareClock {
    origin: Instant,
    boot_origin: Duration,
}

impl SuspendAwareClock {
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
            boot_origin: boot_time(),
        }
    }

    pub fn now(&self) -> Instant {
        self.origin + boot_time().saturating_sub(self.boot_origin)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or_default(),
        u32::try_from(time.tv_nsec).unwrap_or_default(),
    )
}
