//! The only module that reads the system clocks.

use lilacpass_lead::Now;
use rustix::time::{ClockId, clock_gettime};

/// The current time. The steady clock includes the time during which the machine is suspended, so that an instance
/// notices how old its knowledge is after a suspension.
pub fn now() -> Now {
    Now { steady_ms: read_ms(ClockId::Boottime), unix_ms: read_ms(ClockId::Realtime) }
}

fn read_ms(clock: ClockId) -> u64 {
    let time = clock_gettime(clock);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}
