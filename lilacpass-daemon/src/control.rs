//! The control thread: owns the state machine, feeds it events, hands out its effects.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use lilacpass_control::{Control, Effect, Event};
use lilacpass_core::MonoTime;
use tokio::sync::mpsc as async_mpsc;

use crate::clock::{self, Clock};

/// Events that wait for the control thread at most.
pub const QUEUE_CAPACITY: usize = 16_384;

/// Waiting events above which new requests are refused, so that completions always find room.
pub const REQUEST_LIMIT: usize = QUEUE_CAPACITY / 2;

/// Events handled before their effects are handed out.
const MAX_BATCH: usize = 256;

/// Longest sleep of the control thread.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Least time from one tick to the next.
///
/// Guards against a state machine that wants to be woken at once, over and over, with nothing to
/// do: the thread would use a whole core for empty ticks.
const MIN_TICK_GAP: Duration = Duration::from_micros(200);

/// Time between two readings of the thread's processor time.
const CPU_INTERVAL: Duration = Duration::from_secs(1);

/// Pause before a completion is offered again to a full queue.
const FULL_PAUSE: Duration = Duration::from_millis(1);

/// A state machine that the control thread can drive.
pub trait Machine: Send + 'static {
    /// Handles one event at `now` and appends what has to be done to `out`.
    fn handle(&mut self, event: Event, now: MonoTime, out: &mut Vec<Effect>);

    /// When [`Event::Tick`] is wanted next.
    fn next_wake(&self, now: MonoTime) -> MonoTime;
}

impl Machine for Control {
    fn handle(&mut self, event: Event, now: MonoTime, out: &mut Vec<Effect>) {
        Control::handle(self, event, now, out);
    }

    fn next_wake(&self, now: MonoTime) -> MonoTime {
        Control::next_wake(self, now)
    }
}

/// Effects of one batch of events, in order.
pub type Effects = async_mpsc::UnboundedReceiver<Vec<Effect>>;

/// Figures of the control thread, for the metrics page.
#[derive(Debug, Default)]
pub struct ControlStats {
    /// Events that wait now.
    pub queued: AtomicUsize,
    /// Processor time of the thread in microseconds.
    pub cpu_us: AtomicU64,
    /// Requests refused because too many events waited.
    pub refused: AtomicU64,
}

/// Takes events to the control thread.
#[derive(Clone, Debug)]
pub struct EventSink {
    sender: mpsc::SyncSender<Event>,
    stats: Arc<ControlStats>,
}

impl EventSink {
    /// Hands over a new request, unless too many events wait; the event comes back then and has
    /// had no effect.
    ///
    /// # Errors
    ///
    /// The event itself, where it was not taken.
    #[allow(clippy::result_large_err, reason = "the event comes back to the one who made it")]
    pub fn offer(&self, event: Event) -> Result<(), Event> {
        if self.stats.queued.load(Ordering::Relaxed) >= REQUEST_LIMIT {
            self.stats.refused.fetch_add(1, Ordering::Relaxed);
            return Err(event);
        }
        self.try_send(event)
    }

    /// Hands over an event that must not be lost, such as the end of a call; waits for room.
    pub async fn send(&self, event: Event) {
        let mut event = event;
        loop {
            match self.try_send(event) {
                Ok(()) => return,
                Err(back) => event = back,
            }
            tokio::time::sleep(FULL_PAUSE).await;
        }
    }

    /// Hands over an event from a place that can't wait, such as a destructor.
    pub fn send_detached(&self, event: Event) {
        let Err(event) = self.try_send(event) else { return };
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        let sink = self.clone();
        runtime.spawn(async move { sink.send(event).await });
    }

    /// Figures of the control thread.
    pub fn stats(&self) -> &Arc<ControlStats> {
        &self.stats
    }

    #[allow(clippy::result_large_err, reason = "the event comes back to the one who made it")]
    fn try_send(&self, event: Event) -> Result<(), Event> {
        self.stats.queued.fetch_add(1, Ordering::Relaxed);
        let Err(error) = self.sender.try_send(event) else { return Ok(()) };
        self.stats.queued.fetch_sub(1, Ordering::Relaxed);
        match error {
            mpsc::TrySendError::Full(event) => Err(event),
            // The control thread has ended; nobody waits for effects any more.
            mpsc::TrySendError::Disconnected(_) => Ok(()),
        }
    }
}

/// A queue of events that nobody drains yet.
pub fn queue() -> (EventSink, EventQueue) {
    let (sender, receiver) = mpsc::sync_channel(QUEUE_CAPACITY);
    let stats = Arc::new(ControlStats::default());
    (EventSink { sender, stats: stats.clone() }, EventQueue { receiver, stats })
}

/// The receiving end of the queue.
#[derive(Debug)]
pub struct EventQueue {
    receiver: mpsc::Receiver<Event>,
    stats: Arc<ControlStats>,
}

impl EventQueue {
    /// Waits for an event, at most for `timeout`.
    pub fn next(&self, timeout: Duration) -> Option<Event> {
        self.receiver.recv_timeout(timeout).ok().inspect(|_| self.took())
    }

    /// Takes an event that waits already.
    pub fn waiting(&self) -> Option<Event> {
        self.receiver.try_recv().ok().inspect(|_| self.took())
    }

    fn took(&self) {
        self.stats.queued.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Starts the control thread. It ends once the receiver of effects is dropped.
///
/// # Errors
///
/// The thread could not be started.
pub fn spawn(
    machine: impl Machine,
    queue: EventQueue,
    clock: Clock,
) -> io::Result<(Effects, thread::JoinHandle<()>)> {
    let (sender, effects) = async_mpsc::unbounded_channel();
    let run = move || run(machine, &queue, clock, &sender);
    let thread = thread::Builder::new().name("control".to_owned()).spawn(run)?;
    Ok((effects, thread))
}

fn run(
    mut machine: impl Machine,
    queue: &EventQueue,
    clock: Clock,
    effects: &async_mpsc::UnboundedSender<Vec<Effect>>,
) {
    let mut out = Vec::new();
    let mut next_cpu = clock.now();
    let mut next_tick = next_cpu;
    while !effects.is_closed() {
        let now = clock.now();
        let wake = machine.next_wake(now).max(next_tick);
        let first = queue.next(wake.since(now).min(MAX_SLEEP));
        if let Some(event) = first {
            machine.handle(event, clock.now(), &mut out);
            let more = std::iter::from_fn(|| queue.waiting()).take(MAX_BATCH - 1);
            more.for_each(|event| machine.handle(event, clock.now(), &mut out));
        }
        let now = clock.now();
        if wake.reached(now) {
            next_tick = now + MIN_TICK_GAP;
            machine.handle(Event::Tick, now, &mut out);
        }
        if next_cpu.reached(now) {
            next_cpu = now + CPU_INTERVAL;
            record_cpu(&queue.stats);
        }
        if !out.is_empty() && effects.send(std::mem::take(&mut out)).is_err() {
            return;
        }
    }
}

fn record_cpu(stats: &ControlStats) {
    let Some(cpu) = clock::thread_cpu() else { return };
    let us = u64::try_from(cpu.as_micros()).unwrap_or(u64::MAX);
    stats.cpu_us.store(us, Ordering::Relaxed);
}
