//! One instance of control among workers, peers and a log that answer at once, under a made-up
//! time. Counts the processor time of control alone and the bytes of what it sends and gets.

mod answers;
mod history;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use lilacpass_control::{
    Control, ControlSettings, Effect, Event, Guards,
    event::{Answer, PeerCall, PeerReply, ReadRecord, ReplyId, Stream},
};
use lilacpass_core::{
    MonoTime,
    ids::{DataCentreId, Incarnation, InstanceId, Offset},
};
use lilacpass_hold::HoldOptions;
use lilacpass_records::codec;
use lilacpass_schema::v1::{self, record};
use prost::Message;

use crate::{
    bytes::{Kind, Traffic},
    cost, sample,
};

/// One way between two processes.
const HOP: Duration = Duration::from_micros(500);
/// A read at the tail waits so long for news.
const READ_WAIT: Duration = Duration::from_millis(500);
const RENEW: Duration = Duration::from_secs(1);
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Time that a quick request runs.
const RUN: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_secs(2);

pub(crate) use answers::reported;

/// What surrounds the instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Surroundings {
    /// Workers of the configuration.
    pub(crate) workers: usize,
    /// Workers that the instance holds.
    pub(crate) held: usize,
    /// Recorded tasks on each of them.
    pub(crate) tasks_each: usize,
    /// Other members of its data centre.
    pub(crate) near: usize,
    /// Members of other data centres.
    pub(crate) far: usize,
    /// Jobs that run elsewhere.
    pub(crate) running: usize,
    /// Jobs that have ended.
    pub(crate) ended: usize,
}

/// What comes to the instance by itself, again and again.
#[derive(Clone, Copy, Debug)]
enum Timer {
    Tail(Stream),
    PeerBeat(usize),
    PeerRenewal(usize),
    Load,
}

/// Where quick requests come from, and how many a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Load {
    /// From callers.
    Callers(usize),
    /// From other entry instances.
    Peers(usize),
}

enum Due {
    Event(Box<Event>),
    Timer(Timer),
    Wake,
}

impl Due {
    fn event(event: Event) -> Self {
        Self::Event(Box::new(event))
    }
}

/// The instance and all that it talks to.
pub(crate) struct Instance {
    control: Control,
    around: Surroundings,
    now: MonoTime,
    queue: BinaryHeap<Reverse<(MonoTime, u64)>>,
    due: BTreeMap<u64, Due>,
    numbered: u64,
    wake_at: MonoTime,
    next_offset: BTreeMap<Stream, u64>,
    load: Option<Load>,
    reading_cost: Duration,
    /// The daemon keeps the configuration in force too.
    in_force: Option<Arc<v1::Configuration>>,
    /// Processor time of control.
    pub(crate) spent: Duration,
    /// Events that control handled.
    pub(crate) events: usize,
    /// Appends that control asked for.
    pub(crate) appends: usize,
    /// Quick requests that were answered.
    pub(crate) answered: usize,
    /// Messages that were sent and received.
    pub(crate) traffic: Traffic,
}

fn settings() -> ControlSettings {
    ControlSettings {
        me: InstanceId::new(sample::ME),
        incarnation: Incarnation(1),
        data_centre: DataCentreId::new(sample::OWN),
        peer_address: "10.0.0.1:9000".parse().expect("an address"),
        seed: 7,
        hold: HoldOptions::default(),
        heartbeat: HEARTBEAT,
        silent: Duration::from_secs(3),
        batch: Duration::from_millis(3),
        snapshot_records: 20_000,
        max_queued: 1_024,
        retry_budget_percent: 10,
        task_lease: Duration::from_secs(10),
        task_hold: Duration::from_secs(3),
        keep_ended: Duration::from_secs(86_400),
        max_result_bytes: 65_536,
        report_wait: Duration::from_secs(2),
        guards: Guards::default(),
    }
}

impl Instance {
    /// The instance after it has read all streams, holds its workers and knows their tasks.
    pub(crate) fn new(around: Surroundings) -> Self {
        let now = MonoTime::from_ms(1_000_000);
        let mut instance = Self {
            control: Control::new(settings(), now),
            around,
            now,
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            numbered: 0,
            wake_at: now,
            next_offset: BTreeMap::new(),
            load: None,
            reading_cost: cost::of_reading(),
            in_force: None,
            spent: Duration::ZERO,
            events: 0,
            appends: 0,
            answered: 0,
            traffic: Traffic::default(),
        };
        instance.read_history();
        for stream in Stream::ALL {
            instance.after(HOP, Due::Timer(Timer::Tail(stream)));
        }
        for peer in 0..around.near + around.far {
            // Spread over the second, as peers that started one by one are.
            let offset = HEARTBEAT.mul_f64(peer as f64 / (around.near + around.far) as f64);
            instance.after(offset, Due::Timer(Timer::PeerBeat(peer)));
            if peer < around.near {
                instance.after(offset, Due::Timer(Timer::PeerRenewal(peer)));
            }
        }
        instance.after(HOP, Due::Wake);
        instance.run_for(Duration::from_secs(12));
        instance
    }

    /// Has control read records of a stream, with the tail right behind them.
    pub(crate) fn read(&mut self, stream: Stream, bodies: Vec<record::Body>) {
        let records = bodies
            .into_iter()
            .enumerate()
            .map(|(n, body)| {
                let id = self.next_offset.get(&stream).copied().unwrap_or_default() as usize + n;
                v1::Record { record_id: format!("other.1.{id}"), ..sample::record(0, body) }
            })
            .collect();
        let event = self.read_event(stream, records);
        self.handle(event);
    }

    fn read_event(&mut self, stream: Stream, records: Vec<v1::Record>) -> Event {
        let next = self.next_offset.entry(stream).or_default();
        let first = *next;
        *next += records.len() as u64;
        let bytes = records.iter().map(|record| codec::encode(record).len()).sum();
        self.traffic.count(Kind::LogRead, bytes);
        Event::Read {
            stream,
            sent_at: self.now,
            records: (first..)
                .map(Offset)
                .zip(records.into_iter().map(|record| ReadRecord::Good(Box::new(record))))
                .collect(),
            tail: Offset(*next),
            oldest: Offset(0),
        }
    }

    fn after(&mut self, wait: Duration, due: Due) {
        self.numbered += 1;
        self.due.insert(self.numbered, due);
        self.queue.push(Reverse((self.now + wait, self.numbered)));
    }

    /// Adds quick requests from now on.
    pub(crate) fn load(&mut self, load: Load) {
        self.load = Some(load);
        self.after(HOP, Due::Timer(Timer::Load));
    }

    /// Moves time on.
    pub(crate) fn run_for(&mut self, duration: Duration) {
        let until = self.now + duration;
        while let Some(Reverse((at, _))) = self.queue.peek()
            && *at <= until
        {
            let Some(Reverse((at, number))) = self.queue.pop() else { return };
            self.now = self.now.max(at);
            match self.due.remove(&number) {
                Some(Due::Event(event)) => self.handle(*event),
                Some(Due::Timer(timer)) => self.on_timer(timer),
                Some(Due::Wake) if self.wake_at <= self.now => self.handle(Event::Tick),
                Some(Due::Wake) | None => {}
            }
        }
        self.now = until;
    }

    /// Forgets what was counted so far.
    pub(crate) fn reset(&mut self) {
        self.spent = Duration::ZERO;
        self.events = 0;
        self.appends = 0;
        self.answered = 0;
        self.traffic = Traffic::default();
    }

    /// Workers that control holds and has a report of.
    pub(crate) fn serving(&self) -> u64 {
        self.control.counters().workers_serving.load(std::sync::atomic::Ordering::Relaxed)
    }

    fn handle(&mut self, event: Event) {
        let mut effects = Vec::new();
        let now = self.now;
        let control = &mut self.control;
        let (spent, wake) = cost::time(|| {
            control.handle(event, now, &mut effects);
            control.next_wake(now)
        });
        self.spent += spent.saturating_sub(self.reading_cost);
        self.events += 1;
        self.wake_at = wake.max(now + Duration::from_micros(100));
        self.after(self.wake_at.since(now), Due::Wake);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Tail(stream) => {
                self.after(READ_WAIT, Due::Timer(timer));
                self.read(stream, Vec::new());
            }
            Timer::PeerRenewal(n) => {
                self.after(RENEW, Due::Timer(timer));
                let body = self.peer_holding(n, false);
                self.read(Stream::Holding, vec![body]);
            }
            Timer::PeerBeat(n) => {
                let factor = if n < self.around.near { 1 } else { 2 };
                self.after(HEARTBEAT * factor, Due::Timer(timer));
                let beat = self.peer_beat(n, Vec::new());
                self.traffic.count(Kind::Heartbeat, beat.encoded_len());
                self.numbered += 1;
                let reply = ReplyId(self.numbered);
                self.handle(Event::PeerRequest { reply, request: PeerCall::Heartbeat(beat) });
            }
            Timer::Load => self.one_request(),
        }
    }

    fn one_request(&mut self) {
        let Some(load) = self.load else { return };
        let (Load::Callers(rate) | Load::Peers(rate)) = load;
        self.after(Duration::from_secs(1) / rate as u32, Due::Timer(Timer::Load));
        self.numbered += 1;
        let n = self.numbered as usize;
        let reply = ReplyId(self.numbered);
        let spec = sample::urgent(n);
        self.handle(match load {
            Load::Callers(_) => {
                Event::Request { reply, caller: answers::caller(), request: answers::quick(spec) }
            }
            Load::Peers(_) => {
                let request = PeerCall::Forward(v1::ForwardRequest {
                    task: Some(sample::task(n)),
                    spec: Some(spec),
                    remaining_ms: 2_000,
                    from: "south-1-entry-1".to_owned(),
                });
                Event::PeerRequest { reply, request }
            }
        });
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::WorkerCall { call, to, request, .. } => {
                self.worker_call(call, to.as_str(), request);
            }
            Effect::PeerCall { call, to, request, .. } => {
                self.peer_call(call, to.as_str(), request);
            }
            Effect::Append { call, stream, records } => {
                self.appends += 1;
                let bytes = records.iter().map(|record| codec::encode(record).len()).sum();
                self.traffic.count(Kind::LogAppend, bytes);
                let first = Offset(self.next_offset.get(&stream).copied().unwrap_or_default());
                let read = self.read_event(stream, records);
                self.after(HOP * 2, Due::event(Event::Appended { call, result: Ok(first) }));
                self.after(HOP * 2, Due::event(read));
            }
            Effect::PeerReply { reply: Ok(PeerReply::Heartbeat(beat)), .. } => {
                self.traffic.count(Kind::Heartbeat, beat.encoded_len());
            }
            Effect::PeerReply { reply: Ok(PeerReply::Forward(answer)), .. } => {
                self.answered += usize::from(answer.verdict() == v1::Verdict::Ran);
            }
            Effect::Reply { answer: Answer::Quick(_), .. } => self.answered += 1,
            Effect::InForce { configuration, .. } => self.in_force = Some(configuration),
            _ => {}
        }
    }
}
