//! A data centre in one thread: members with clocks of their own, the holding stream, and workers.
//! The oracle: what runs on a worker never exceeds what the worker has.
#![allow(dead_code, unreachable_pub)]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lilacpass_core::{
    MonoTime, Resources,
    ids::{Epoch, Incarnation, InstanceId, Offset, ShardId, WorkerId},
};
use lilacpass_hold::{
    AppendOutcome, HoldAction, HoldOptions, Holding, ListedInstance, Mode, ShardSpec,
};
use lilacpass_schema::v1;

/// Small fast pseudo-random numbers from a seed.
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound.max(1)
    }
}

struct OwnTask {
    worker: usize,
    size: Resources,
    sent: MonoTime,
    seen: bool,
}

/// A start that is on its way to a worker.
struct Sent {
    size: Resources,
    epoch: Epoch,
    recorded: bool,
}

/// One process of an entry instance, with what it believes about its workers.
pub struct Process {
    pub name: String,
    pub incarnation: u64,
    pub hold: Holding,
    pub alive: bool,
    pub listed: bool,
    pub list_leaving: bool,
    pub log_up: bool,
    /// Whether the answers to its appends are lost.
    pub answers_lost: bool,
    pub append_delay_ms: u64,
    pub read_delay_ms: u64,
    pub start_delay_ms: u64,
    /// Whether no report of a worker reaches it.
    pub blind: bool,
    /// Starts as many tasks as it may.
    pub greedy: bool,
    pub clock_ppm: i64,
    pub paused_until_ms: u64,
    /// When it ends, where it was replaced and goes on for a while.
    pub ends_ms: u64,
    own: BTreeMap<u64, OwnTask>,
    adopted: Vec<Vec<(u64, Resources)>>,
    asked: Vec<bool>,
}

enum Event {
    Step(usize),
    Append(usize, v1::HoldingRecord, bool),
    Appended(usize, u64, AppendOutcome),
    Read(usize, MonoTime),
    ReadDone(usize, MonoTime, usize),
    Heartbeats(usize),
    Heartbeat(usize, usize, u64),
    Granted(usize, usize, v1::Grant),
    Start(u64, usize, usize, Sent),
    End(usize, u64),
    Report(usize, usize, MonoTime, Option<Epoch>),
    ReportDone(usize, usize, MonoTime, Vec<(u64, usize, Resources)>),
    List,
}

/// The data centre.
pub struct World {
    pub options: HoldOptions,
    pub has: Resources,
    pub shards: usize,
    pub random: Random,
    pub processes: Vec<Process>,
    /// Pairs of processes that don't hear each other.
    pub cut: BTreeSet<(usize, usize)>,
    /// Run time of tasks; for good where 0.
    pub task_ms: u64,
    pub task_sizes: Vec<Resources>,
    pub report_lag_ms: u64,
    pub log: Vec<v1::HoldingRecord>,
    pub running: Vec<BTreeMap<u64, (usize, Resources)>>,
    /// The first time that a worker was given more than it has.
    pub overcommitted: Option<String>,
    /// The first time that a recorded task started after a report that proved that it would not.
    pub started_late: Option<String>,
    /// Per worker, the epoch of the last report that was settled when it was asked for.
    settled: Vec<Epoch>,
    /// Whether a process forgets its own tasks on a shard that it loses, and finds them as others'
    /// when it gets the shard again.
    pub forgets: bool,
    pub step_us: u64,
    /// Prints what lands in the log and what is started.
    trace: bool,
    events: BTreeMap<(u64, u64), Event>,
    number: u64,
    now_us: u64,
}

const LATENCY_US: u64 = 500;
const HEARTBEAT_US: u64 = 400_000;

impl World {
    pub fn new(options: HoldOptions, has: Resources, shards: usize) -> Self {
        let mut world = Self {
            options,
            has,
            shards,
            random: Random(0x9e37_79b9_7f4a_7c15),
            processes: Vec::new(),
            cut: BTreeSet::new(),
            task_ms: 0,
            task_sizes: vec![Resources::new(1_000, 0, 0, 1)],
            report_lag_ms: 1,
            log: Vec::new(),
            running: vec![BTreeMap::new(); shards],
            overcommitted: None,
            started_late: None,
            settled: vec![Epoch(0); shards],
            forgets: false,
            step_us: 20_000,
            trace: std::env::var_os("HOLD_TRACE").is_some(),
            events: BTreeMap::new(),
            number: 0,
            now_us: 0,
        };
        world.at(0, Event::List);
        world
    }

    /// Starts a process; a second one of the same name has a newer incarnation. The address is the
    /// name, unless another is given.
    pub fn spawn(&mut self, name: &str, address: &str) -> usize {
        let process = self.processes.len();
        let incarnation = Incarnation(process as u64 + 1);
        let now = MonoTime(1_000_000_000 + self.now_us);
        let id = InstanceId::new(name);
        let mut hold = Holding::new(id, incarnation, self.options.clone(), now);
        hold.set_address(address);
        let specs = (0..self.shards)
            .map(|n| ShardSpec { shard: shard(n), workers: vec![(worker(n), self.has)] });
        hold.set_shards(specs.collect(), now);
        self.processes.push(Process {
            name: name.to_owned(),
            incarnation: incarnation.0,
            hold,
            alive: true,
            listed: true,
            list_leaving: false,
            log_up: true,
            answers_lost: false,
            append_delay_ms: 0,
            read_delay_ms: 0,
            start_delay_ms: 1,
            blind: false,
            greedy: false,
            clock_ppm: 0,
            paused_until_ms: 0,
            ends_ms: u64::MAX,
            own: BTreeMap::new(),
            adopted: vec![Vec::new(); self.shards],
            asked: vec![false; self.shards],
        });
        let local = self.local(process);
        self.at(0, Event::Step(process));
        self.at(0, Event::Read(process, local));
        self.at(0, Event::Heartbeats(process));
        process
    }

    /// Ends a process at once; what it sent goes on.
    pub fn kill(&mut self, process: usize) {
        self.processes[process].alive = false;
        self.processes[process].listed = false;
    }

    pub fn pause(&mut self, process: usize, ms: u64) {
        self.processes[process].paused_until_ms = self.now_us / 1_000 + ms;
    }

    pub fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        let end = self.now_us + ms * 1_000;
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now_us = at;
            self.handle(event);
        }
        self.now_us = end;
    }

    /// Lets time pass until the condition holds, and says how long it took.
    pub fn run_until(&mut self, most_ms: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let start = self.now_ms();
        while !done(self) {
            if self.now_ms() > start + most_ms {
                return None;
            }
            self.run(10);
        }
        Some(self.now_ms() - start)
    }

    pub fn local(&self, process: usize) -> MonoTime {
        let ppm = self.processes[process].clock_ppm;
        let drift = i128::from(self.now_us) * i128::from(ppm) / 1_000_000;
        MonoTime((1_000_000_000 + i128::from(self.now_us) + drift) as u64)
    }

    /// Cuts a process off from the log and from all others, but not from the workers.
    pub fn cut_off(&mut self, process: usize) {
        self.processes[process].log_up = false;
        let others = (0..self.processes.len()).filter(|p| *p != process);
        self.cut.extend(others.map(|p| (p.min(process), p.max(process))));
    }

    /// Has all processes start what they may from now on.
    pub fn all_greedy(&mut self) {
        self.processes.iter_mut().for_each(|p| p.greedy = true);
    }

    /// The processes that hold the shard in their own view and may give there.
    pub fn givers(&self, shard_number: usize) -> Vec<(usize, Mode)> {
        let live = self.processes.iter().enumerate().filter(|(_, p)| p.alive);
        let mode = |n: usize| self.processes[n].hold.mode_of(&shard(shard_number), self.local(n));
        live.filter_map(|(n, _)| Some((n, mode(n)?))).collect()
    }

    /// Whether one live process has the whole worker of the shard, under a lease.
    pub fn served_whole(&self, n: usize) -> bool {
        let limits = self.givers(n).into_iter().filter_map(|(p, _)| self.limit(p, n));
        limits.filter(|l| l.mode == Mode::Lease && l.resources == self.has).count() == 1
    }

    pub fn limit(&self, process: usize, n: usize) -> Option<lilacpass_hold::Limit> {
        self.processes[process].hold.limit(&worker(n), self.local(process))
    }

    fn print(&self, line: impl Fn() -> String) {
        if self.trace {
            println!("{} ms {}", self.now_ms(), line());
        }
    }

    fn at(&mut self, delay_us: u64, event: Event) {
        self.number += 1;
        self.events.insert((self.now_us + delay_us, self.number), event);
    }

    fn handle(&mut self, event: Event) {
        if let Some(process) = target(&event) {
            let p = &mut self.processes[process];
            p.alive &= p.ends_ms > self.now_us / 1_000;
            if !p.alive {
                return;
            }
            let wakes_us = p.paused_until_ms * 1_000;
            if wakes_us > self.now_us {
                // A start attempt comes first after a pause: the process goes on where it was.
                let late = u64::from(!matches!(event, Event::Step(_)));
                return self.at(wakes_us - self.now_us + late, event);
            }
        }
        match event {
            Event::Step(p) => self.step(p),
            Event::Append(p, record, lost) => {
                let sequence = record.sequence;
                self.print(|| format!("log: {record:?}"));
                self.log.push(record);
                let outcome = if lost { AppendOutcome::Unknown } else { AppendOutcome::Done };
                self.at(LATENCY_US, Event::Appended(p, sequence, outcome));
            }
            Event::Appended(p, sequence, outcome) => {
                let now = self.local(p);
                self.processes[p].hold.appended(sequence, outcome, now);
            }
            Event::Read(p, sent) => self.read(p, sent),
            Event::ReadDone(p, sent, upto) => self.read_done(p, sent, upto),
            Event::Heartbeats(p) => self.heartbeats(p),
            Event::Heartbeat(from, to, sent_us) => self.heartbeat(from, to, sent_us),
            Event::Granted(p, from, grant) => {
                let now = self.local(p);
                let id = InstanceId::new(&self.processes[from].name);
                let incarnation = Incarnation(self.processes[from].incarnation);
                self.processes[p].hold.on_grant(&id, incarnation, &grant, now);
            }
            Event::Start(task, p, n, sent) => self.start(task, p, n, &sent),
            Event::End(n, task) => {
                self.running[n].remove(&task);
            }
            Event::Report(p, n, sent, settled) => {
                self.settled[n] = self.settled[n].max(settled.unwrap_or_default());
                let picture = self.running[n].iter().map(|(id, (by, size))| (*id, *by, *size));
                let picture = picture.collect();
                let delay_us = self.random.below(self.report_lag_ms * 1_000) + 1;
                self.at(delay_us, Event::ReportDone(p, n, sent, picture));
            }
            Event::ReportDone(p, n, sent, picture) => self.report_done(p, n, sent, &picture),
            Event::List => self.list(),
        }
    }

    /// Gives work first, as a process does that goes on after a pause, then ticks.
    fn step(&mut self, p: usize) {
        if self.processes[p].greedy {
            (0..self.shards).for_each(|n| self.fill(p, n));
        }
        let now = self.local(p);
        let actions = self.processes[p].hold.tick(now);
        for action in actions {
            match action {
                HoldAction::Append(record) => self.append(p, record),
                HoldAction::Lost(shard) if self.forgets => self.processes[p].forget(&shard),
                HoldAction::Lost(_) | HoldAction::Gained(..) => {}
            }
        }
        for n in 0..self.shards {
            let held = self.processes[p].hold.held().any(|s| *s == shard(n));
            if held && !self.processes[p].asked[n] && !self.processes[p].blind {
                self.processes[p].asked[n] = true;
                let hold = &self.processes[p].hold;
                let epoch = hold.epoch_of(&shard(n)).filter(|_| hold.settled(&worker(n), now));
                self.at(LATENCY_US, Event::Report(p, n, now, epoch));
            }
        }
        let jitter_us = self.random.below(1_000);
        self.at(self.step_us + jitter_us, Event::Step(p));
    }

    fn append(&mut self, p: usize, record: v1::HoldingRecord) {
        let process = &self.processes[p];
        if !process.log_up {
            let event = Event::Appended(p, record.sequence, AppendOutcome::Failed);
            return self.at(LATENCY_US, event);
        }
        let delay_us = LATENCY_US + process.append_delay_ms * 1_000;
        let lost = process.answers_lost;
        self.at(delay_us, Event::Append(p, record, lost));
    }

    fn read(&mut self, p: usize, sent: MonoTime) {
        let upto = self.log.len();
        let delay_us = LATENCY_US + self.processes[p].read_delay_ms * 1_000;
        self.at(delay_us, Event::ReadDone(p, sent, upto));
    }

    fn read_done(&mut self, p: usize, sent: MonoTime, upto: usize) {
        let now = self.local(p);
        let process = &mut self.processes[p];
        if process.log_up {
            for offset in process.hold.next_offset().0 as usize..upto {
                process.hold.fold(Offset(offset as u64), &self.log[offset], sent, now);
            }
            process.hold.at_tail(Offset(upto as u64), sent, now);
        } else {
            process.hold.log_failed(now);
        }
        self.at(self.step_us / 2, Event::Read(p, now));
    }

    fn heartbeats(&mut self, p: usize) {
        let sent_us = self.local(p).0;
        for peer in 0..self.processes.len() {
            if peer != p && !self.cut.contains(&(p.min(peer), p.max(peer))) {
                self.at(LATENCY_US, Event::Heartbeat(p, peer, sent_us));
            }
        }
        self.at(HEARTBEAT_US, Event::Heartbeats(p));
    }

    fn heartbeat(&mut self, from: usize, to: usize, sent_us: u64) {
        let now = self.local(to);
        let id = InstanceId::new(&self.processes[from].name);
        let incarnation = Incarnation(self.processes[from].incarnation);
        let grant = self.processes[to].hold.grants_for(&id, incarnation, sent_us, now);
        if let Some(grant) = grant {
            self.at(LATENCY_US, Event::Granted(from, to, grant));
        }
    }

    /// Starts tasks on the worker while they fit.
    fn fill(&mut self, p: usize, n: usize) {
        loop {
            let now = self.local(p);
            let Some(limit) = self.limit(p, n).filter(|l| now < l.valid_until) else { return };
            let given = self.processes[p].given(n);
            let sizes = self.task_sizes.iter();
            let fitting: Vec<_> =
                sizes.filter(|s| given.plus(s).fits(&limit.resources)).copied().collect();
            if fitting.is_empty() {
                return;
            }
            let size = fitting[self.random.below(fitting.len() as u64) as usize];
            self.number += 1;
            let task = self.number;
            self.print(|| format!("{p} starts {size} on {n}, given {given}, {limit:?}"));
            let own = OwnTask { worker: n, size, sent: now, seen: false };
            self.processes[p].own.insert(task, own);
            let delay_us = self.processes[p].start_delay_ms * 1_000;
            let sent = Sent { size, epoch: limit.epoch, recorded: limit.recorded };
            self.at(delay_us, Event::Start(task, p, n, sent));
        }
    }

    fn start(&mut self, task: u64, p: usize, n: usize, sent: &Sent) {
        if sent.recorded && sent.epoch < self.settled[n] {
            let at = self.now_us / 1_000;
            self.started_late.get_or_insert(format!("by {p} on worker {n} at {at} ms"));
        }
        self.running[n].insert(task, (p, sent.size));
        let sum = self.running[n].values().fold(Resources::ZERO, |sum, (_, s)| sum.plus(s));
        if !sum.fits(&self.has) && self.overcommitted.is_none() {
            let by: Vec<_> = self.running[n].values().map(|(by, _)| *by).collect();
            let at = self.now_us / 1_000;
            self.overcommitted = Some(format!("{sum} on worker {n} at {at} ms, by {by:?}"));
        }
        if self.task_ms > 0 {
            let run_us = 1 + self.random.below(2 * self.task_ms * 1_000);
            self.at(run_us, Event::End(n, task));
        }
    }

    fn report_done(
        &mut self,
        p: usize,
        n: usize,
        sent: MonoTime,
        picture: &[(u64, usize, Resources)],
    ) {
        let now = self.local(p);
        let flight = self.options.with_margin(self.options.start_flight);
        let process = &mut self.processes[p];
        process.asked[n] = false;
        let others: Vec<_> = picture
            .iter()
            .filter(|(id, ..)| !process.own.contains_key(id))
            .map(|(id, _, s)| (*id, *s))
            .collect();
        let sum = others.iter().fold(Resources::ZERO, |sum, (_, s)| sum.plus(s));
        process.own.retain(|id, task| {
            let shown = picture.iter().any(|(shown, _, _)| shown == id);
            task.seen |= shown;
            let over = task.seen || task.sent + flight < sent;
            task.worker != n || shown || !over
        });
        process.adopted[n] = others;
        process.hold.report(&worker(n), sent, sum, now);
    }

    fn list(&mut self) {
        let listed: Vec<_> =
            self.processes.iter().filter(|p| p.listed).map(Process::listing).collect();
        for p in 0..self.processes.len() {
            let now = self.local(p);
            self.processes[p].hold.set_instances(&listed, now);
        }
        self.at(500_000, Event::List);
    }
}

impl Process {
    fn forget(&mut self, lost: &ShardId) {
        self.own.retain(|_, task| shard(task.worker) != *lost);
        let adopted = self.adopted.iter_mut().enumerate().filter(|(n, _)| shard(*n) == *lost);
        adopted.for_each(|(_, adopted)| adopted.clear());
    }

    fn given(&self, n: usize) -> Resources {
        let own = self.own.values().filter(|t| t.worker == n).map(|t| t.size);
        let adopted = self.adopted[n].iter().map(|(_, size)| *size);
        own.chain(adopted).fold(Resources::ZERO, |sum, size| sum.plus(&size))
    }

    fn listing(&self) -> ListedInstance {
        ListedInstance {
            id: InstanceId::new(&self.name),
            incarnation: Incarnation(self.incarnation),
            leaving: self.list_leaving,
        }
    }
}

/// The process that the event happens to; nothing for events outside all processes.
fn target(event: &Event) -> Option<usize> {
    match event {
        Event::Step(p)
        | Event::Appended(p, ..)
        | Event::ReadDone(p, ..)
        | Event::Read(p, ..)
        | Event::Heartbeats(p)
        | Event::Heartbeat(_, p, _)
        | Event::Granted(p, ..)
        | Event::ReportDone(p, ..) => Some(*p),
        Event::Append(..) | Event::Start(..) | Event::End(..) | Event::Report(..) | Event::List => {
            None
        }
    }
}

pub fn shard(n: usize) -> ShardId {
    ShardId::new(format!("rack-{n}"))
}

pub fn worker(n: usize) -> WorkerId {
    WorkerId::new(format!("worker-{n}"))
}

/// Options with short waits for what is dead, so that runs stay short.
pub fn quick_options() -> HoldOptions {
    HoldOptions {
        longest_pause: Duration::from_secs(6),
        list_lag: Duration::from_secs(2),
        ..HoldOptions::default()
    }
}

impl World {
    /// Has a process start from what another one has read.
    pub fn copy_snapshot(&mut self, from: usize, to: usize) {
        let source = &self.processes[from].hold;
        let (snapshot, covers) = (source.snapshot(), source.next_offset());
        let now = self.local(to);
        self.processes[to].hold.restore(&snapshot, covers, now);
    }

    /// The state of the shards and the members, for messages of failed tests.
    pub fn describe(&self) -> String {
        let live = self.processes.iter().enumerate().filter(|(_, p)| p.alive);
        let lines = live.map(|(n, p)| {
            let limits: Vec<_> = (0..self.shards).map(|s| self.limit(n, s)).collect();
            let (name, left) = (&p.name, p.hold.left());
            format!("\n{n} {name} left {left}: {limits:?}\n  {:?}", p.hold.snapshot())
        });
        lines.collect()
    }
}
