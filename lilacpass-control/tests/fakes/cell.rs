//! A cell of several members around one log and some workers, under a made-up time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use lilacpass_control::{
    Control, ControlSettings, Effect, Event, Guards,
    event::{
        Answer, CallFailure, CallId, Caller, ChangeRequest, FailureKind, PeerReply, QuickRequest,
        ReadRecord, ReplyId, Request, Role, Stream, SubmitRequest, WorkerCall, WorkerReply,
    },
};
use lilacpass_core::{
    MonoTime, Resources, Verdict,
    ids::{DataCentreId, Incarnation, InstanceId, JobId, Offset, Revision, TeamId},
};
use lilacpass_hold::HoldOptions;
use lilacpass_schema::v1;

use super::{
    inventory,
    log::{Log, Mode},
    worker::{Run, Worker},
};

/// One way between two processes.
const HOP: Duration = Duration::from_micros(500);
/// A read at the tail waits so long for news.
const READ_WAIT: Duration = Duration::from_millis(500);
/// A failed read is tried again after this time.
const READ_RETRY: Duration = Duration::from_millis(200);
/// A late append takes effect after this time.
const LATE: Duration = Duration::from_secs(3);
/// The instance list is read so often.
const LIST_EVERY: Duration = Duration::from_millis(500);

/// What a member suffers from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// Gone, as by kill -9.
    Killed,
    /// Stands still and goes on later; what arrives meanwhile waits.
    Paused,
}

/// Something that arrives somewhere.
enum Arrival {
    ToMember(usize, Event),
    Wake(usize),
    PeerCall {
        from: usize,
        call: CallId,
        to: usize,
        request: lilacpass_control::event::PeerCall,
    },
    WorkerCall {
        from: usize,
        call: CallId,
        worker: String,
        sent_at: MonoTime,
        request: WorkerCall,
    },
    RunEnds {
        from: usize,
        call: CallId,
        worker: String,
        sent_at: MonoTime,
        request: v1::RunRequest,
    },
    Append {
        from: usize,
        call: CallId,
        stream: Stream,
        records: Vec<v1::Record>,
    },
    /// An append whose answer was given up long ago takes effect.
    Landed {
        from: usize,
        stream: Stream,
        records: Vec<v1::Record>,
    },
    Read {
        member: usize,
        stream: Stream,
        timer: bool,
    },
    List {
        member: usize,
    },
}

struct Member {
    name: String,
    data_centre: String,
    control: Control,
    fault: Fault,
    /// Arrivals that wait for the end of a pause.
    waiting: Vec<Event>,
    cut_from_log: bool,
    cut_from_peers: bool,
    listed: bool,
    incarnation: u64,
    /// Records reach the member so much later than others.
    read_lag: Duration,
    read_from: BTreeMap<Stream, u64>,
    read_sent: BTreeMap<Stream, MonoTime>,
    wake_at: MonoTime,
}

/// A cell under test.
pub(crate) struct Cell {
    pub(crate) now: MonoTime,
    pub(crate) log: Log,
    pub(crate) workers: BTreeMap<String, Worker>,
    pub(crate) answers: BTreeMap<u64, (Answer, MonoTime)>,
    /// Last revision that each member said is in force.
    pub(crate) in_force: BTreeMap<String, Vec<u64>>,
    pub(crate) stopped: Vec<String>,
    members: Vec<Member>,
    queue: BinaryHeap<Reverse<(MonoTime, u64)>>,
    arrivals: BTreeMap<u64, Arrival>,
    guards: Guards,
    sequence: u64,
    next_reply: u64,
    /// Where the answer to a peer call goes, by the reply id at the callee.
    peer_calls: BTreeMap<(usize, u64), (usize, CallId)>,
}

fn settings(
    name: &str,
    data_centre: &str,
    index: usize,
    incarnation: u64,
    guards: Guards,
) -> ControlSettings {
    ControlSettings {
        me: InstanceId::new(name),
        incarnation: Incarnation(incarnation),
        data_centre: DataCentreId::new(data_centre),
        peer_address: format!("127.1.0.{}:9000", index + 1).parse().unwrap(),
        seed: 7 + index as u64,
        hold: HoldOptions::default(),
        heartbeat: Duration::from_millis(500),
        silent: Duration::from_millis(1_500),
        batch: Duration::from_millis(2),
        snapshot_records: 200,
        max_queued: 1_000,
        retry_budget_percent: 20,
        task_lease: Duration::from_secs(10),
        task_hold: Duration::from_secs(2),
        keep_ended: Duration::from_secs(3_600),
        max_result_bytes: 65_536,
        report_wait: Duration::from_millis(300),
        guards,
    }
}

impl Cell {
    /// `per_data_centre` members in each data centre, and a configuration of one rack each that is
    /// in force everywhere.
    pub(crate) fn new(
        data_centres: &[&str],
        per_data_centre: usize,
        racks: usize,
        per_rack: usize,
    ) -> Self {
        Self::with_guards(data_centres, per_data_centre, racks, per_rack, Guards::default())
    }

    pub(crate) fn with_guards(
        data_centres: &[&str],
        per_data_centre: usize,
        racks: usize,
        per_rack: usize,
        guards: Guards,
    ) -> Self {
        let configuration = inventory::configuration(data_centres, racks, per_rack);
        let workers = configuration
            .workers
            .iter()
            .map(|w| {
                let capacity = Resources::new(w.cpu_milli, w.memory_mib, w.accelerators, w.slots);
                (w.name.clone(), Worker::new(&w.name, capacity))
            })
            .collect();
        let mut cell = Self {
            now: MonoTime::from_ms(1_000_000),
            log: Log::new(),
            workers,
            answers: BTreeMap::new(),
            in_force: BTreeMap::new(),
            stopped: Vec::new(),
            members: Vec::new(),
            queue: BinaryHeap::new(),
            arrivals: BTreeMap::new(),
            guards,
            sequence: 0,
            next_reply: 0,
            peer_calls: BTreeMap::new(),
        };
        for data_centre in data_centres {
            for n in 0..per_data_centre {
                cell.add_member(&format!("{data_centre}-{n}"), data_centre, 1);
            }
        }
        let ops = vec![v1::ConfigOp { op: Some(v1::config_op::Op::Replace(configuration)) }];
        cell.run_for(Duration::from_millis(300));
        let reply = cell.change(0, 0, ops);
        cell.run_until(Duration::from_secs(5), |cell| cell.answers.contains_key(&reply));
        assert!(matches!(cell.answers[&reply].0, Answer::Change(_)), "{:?}", cell.answers[&reply]);
        cell
    }

    fn add_member(&mut self, name: &str, data_centre: &str, incarnation: u64) {
        let index = self.members.len();
        let control =
            Control::new(settings(name, data_centre, index, incarnation, self.guards), self.now);
        self.members.push(Member {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            control,
            fault: Fault::None,
            waiting: Vec::new(),
            cut_from_log: false,
            cut_from_peers: false,
            listed: true,
            incarnation,
            read_lag: Duration::ZERO,
            read_from: BTreeMap::new(),
            read_sent: BTreeMap::new(),
            wake_at: self.now,
        });
        for stream in Stream::ALL {
            self.schedule(HOP, Arrival::Read { member: index, stream, timer: true });
        }
        self.schedule(HOP, Arrival::List { member: index });
        self.schedule(HOP, Arrival::Wake(index));
    }

    /// A new process with a new name or a greater incarnation in place of one that is gone.
    pub(crate) fn replace(&mut self, old: usize, name: &str, incarnation: u64) -> usize {
        let data_centre = self.members[old].data_centre.clone();
        self.members[old].listed = false;
        self.add_member(name, &data_centre, incarnation);
        self.members.len() - 1
    }

    pub(crate) fn fault(&mut self, member: usize, fault: Fault) {
        self.members[member].fault = fault;
        if fault == Fault::None {
            for event in std::mem::take(&mut self.members[member].waiting) {
                self.deliver(member, event);
            }
            self.deliver(member, Event::Tick);
        }
    }

    pub(crate) fn cut_from_log(&mut self, member: usize, cut: bool) {
        self.members[member].cut_from_log = cut;
    }

    pub(crate) fn cut_from_peers(&mut self, member: usize, cut: bool) {
        self.members[member].cut_from_peers = cut;
    }

    /// Has records reach a member so much later than others.
    pub(crate) fn lag_reads(&mut self, member: usize, lag: Duration) {
        self.members[member].read_lag = lag;
    }

    pub(crate) fn unlist(&mut self, member: usize) {
        self.members[member].listed = false;
    }

    pub(crate) fn control(&self, member: usize) -> &Control {
        &self.members[member].control
    }

    pub(crate) fn stop(&mut self, member: usize) {
        self.deliver(member, Event::Stop);
    }

    /// Sends a request of an operator and returns the number of its answer.
    pub(crate) fn ask(&mut self, member: usize, request: Request) -> u64 {
        self.next_reply += 1;
        let reply = self.next_reply;
        let caller =
            Caller { name: "test".to_owned(), role: Role::Operator, team: None, origin: None };
        self.deliver(member, Event::Request { reply: ReplyId(reply), caller, request });
        reply
    }

    pub(crate) fn change(&mut self, member: usize, base: u64, ops: Vec<v1::ConfigOp>) -> u64 {
        let change =
            ChangeRequest { base: Revision(base), ops, reason: "test".to_owned(), dry_run: false };
        self.ask(member, Request::Change(change))
    }

    pub(crate) fn quick(&mut self, member: usize, spec: v1::JobSpec, deadline: Duration) -> u64 {
        let quick = QuickRequest { spec, key: None, body_digest: String::new(), deadline };
        self.ask(member, Request::Quick(quick))
    }

    pub(crate) fn submit(&mut self, member: usize, spec: v1::JobSpec, key: &str) -> (u64, JobId) {
        let id = JobId::derive(&TeamId::new(&spec.team), key);
        let body_digest = spec.payload.clone();
        let submit = SubmitRequest { spec, key: key.to_owned(), body_digest };
        (self.ask(member, Request::Submit(submit)), id)
    }

    /// The state of a job as a member sees it.
    pub(crate) fn job(&mut self, member: usize, id: JobId) -> Option<v1::JobView> {
        let reply = self.ask(member, Request::Job(id));
        match self.answers.get(&reply) {
            Some((Answer::Job(view), _)) => Some(view.clone()),
            _ => None,
        }
    }

    /// All runs on all workers.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.workers.values().flat_map(|worker| worker.runs.clone()).collect()
    }

    pub(crate) fn runs_of(&self, payload: &str) -> Vec<Run> {
        let mut runs: Vec<Run> =
            self.runs().into_iter().filter(|run| run.payload == payload).collect();
        runs.sort_by_key(|run| run.from);
        runs
    }

    /// Pieces of work that ran in two places at once.
    pub(crate) fn doubled(&self, payload: &str) -> usize {
        let runs = self.runs_of(payload);
        runs.windows(2).filter(|pair| pair[0].to.is_none_or(|to| to > pair[1].from)).count()
    }

    pub(crate) fn over_capacity(&self) -> u64 {
        self.workers.values().map(|worker| worker.over_capacity).sum()
    }

    /// Moves time on.
    pub(crate) fn run_for(&mut self, duration: Duration) {
        let until = self.now + duration;
        while let Some(Reverse((at, _))) = self.queue.peek()
            && *at <= until
        {
            self.step();
        }
        self.now = until;
        for worker in self.workers.values_mut() {
            worker.advance(until);
        }
    }

    /// Moves time on until `done` holds, at most for `limit`; returns the time that it took.
    pub(crate) fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Duration {
        let from = self.now;
        while !done(self) {
            assert!(self.now.since(from) < limit, "not reached within {limit:?}");
            self.run_for(Duration::from_millis(5));
        }
        self.now.since(from)
    }

    fn step(&mut self) {
        let Some(Reverse((at, number))) = self.queue.pop() else { return };
        self.now = self.now.max(at);
        let Some(arrival) = self.arrivals.remove(&number) else { return };
        match arrival {
            Arrival::ToMember(member, event) => self.deliver(member, event),
            Arrival::Wake(member) => self.wake(member),
            Arrival::PeerCall { from, call, to, request } => {
                self.peer_call(from, call, to, request);
            }
            Arrival::WorkerCall { from, call, worker, sent_at, request } => {
                self.worker_call(from, call, &worker, sent_at, request);
            }
            Arrival::RunEnds { from, call, worker, sent_at, request } => {
                self.run_ends(from, call, &worker, sent_at, &request);
            }
            Arrival::Append { from, call, stream, records } => {
                self.append(from, call, stream, records);
            }
            Arrival::Landed { from, stream, records } => {
                let data_centre = self.members[from].data_centre.clone();
                self.log.append(stream, &data_centre, records, self.now);
            }
            Arrival::Read { member, stream, timer } => {
                if timer && self.members[member].fault != Fault::Killed {
                    self.schedule(READ_RETRY, Arrival::Read { member, stream, timer });
                }
                self.read(member, stream);
            }
            Arrival::List { member } => self.list(member),
        }
    }

    fn schedule(&mut self, after: Duration, arrival: Arrival) {
        self.sequence += 1;
        self.arrivals.insert(self.sequence, arrival);
        self.queue.push(Reverse((self.now + after, self.sequence)));
    }

    fn wake(&mut self, member: usize) {
        if self.members[member].wake_at <= self.now {
            self.deliver(member, Event::Tick);
        }
    }

    fn deliver(&mut self, member: usize, event: Event) {
        match self.members[member].fault {
            Fault::Killed => return,
            Fault::Paused => {
                self.members[member].waiting.push(event);
                return;
            }
            Fault::None => {}
        }
        let mut effects = Vec::new();
        let now = self.now;
        let control = &mut self.members[member].control;
        control.handle(event, now, &mut effects);
        let wake_at = control.next_wake(now).max(now + Duration::from_micros(10));
        self.members[member].wake_at = wake_at;
        self.schedule(wake_at.since(now), Arrival::Wake(member));
        for effect in effects {
            self.carry_out(member, effect);
        }
    }

    fn carry_out(&mut self, member: usize, effect: Effect) {
        match effect {
            Effect::Reply { to, answer } => {
                let earlier = self.answers.insert(to.0, (answer, self.now));
                assert!(earlier.is_none(), "two answers to request {}", to.0);
            }
            Effect::PeerReply { to, reply } => {
                let Some((caller, call)) = self.peer_calls.remove(&(member, to.0)) else { return };
                if self.is_cut(member, caller) {
                    return;
                }
                let result =
                    reply.map_err(|detail| failure(Verdict::NotRun, FailureKind::Refused, &detail));
                self.schedule(HOP, Arrival::ToMember(caller, Event::PeerDone { call, result }));
            }
            Effect::PeerCall { call, to, request, timeout, .. } => {
                let target = self
                    .members
                    .iter()
                    .rposition(|m| m.name == to.as_str() && m.fault != Fault::Killed);
                let timed_out: Result<PeerReply, _> =
                    Err(failure(Verdict::MayHaveRun, FailureKind::Timeout, "timeout"));
                match target {
                    None => {
                        let result = Err(failure(Verdict::NotRun, FailureKind::Connect, "refused"));
                        self.schedule(
                            HOP,
                            Arrival::ToMember(member, Event::PeerDone { call, result }),
                        );
                    }
                    Some(to) => {
                        if !self.is_cut(member, to) {
                            self.schedule(
                                HOP,
                                Arrival::PeerCall { from: member, call, to, request },
                            );
                        }
                        let late = Event::PeerDone { call, result: timed_out };
                        self.schedule(timeout, Arrival::ToMember(member, late));
                    }
                }
            }
            Effect::WorkerCall { call, to, request, timeout, not_after, .. } => {
                let sent_at = self.now;
                if not_after < sent_at {
                    let result = Err(failure(Verdict::NotRun, FailureKind::PermitLapsed, "lapsed"));
                    let done = Event::WorkerDone { call, sent_at, result };
                    self.schedule(HOP, Arrival::ToMember(member, done));
                    return;
                }
                let worker = to.to_string();
                let delay = match request {
                    WorkerCall::Start(_) => {
                        self.workers.get(&worker).map_or(HOP, |w| w.start_delay + HOP)
                    }
                    _ => HOP,
                };
                self.schedule(
                    delay,
                    Arrival::WorkerCall { from: member, call, worker, sent_at, request },
                );
                let result = Err(failure(Verdict::MayHaveRun, FailureKind::Timeout, "timeout"));
                self.schedule(
                    timeout,
                    Arrival::ToMember(member, Event::WorkerDone { call, sent_at, result }),
                );
            }
            Effect::Append { call, stream, records } => {
                self.schedule(HOP, Arrival::Append { from: member, call, stream, records });
            }
            Effect::InForce { revision, .. } => {
                let name = self.members[member].name.clone();
                self.in_force.entry(name).or_default().push(revision.0);
            }
            Effect::Stopped => {
                let name = self.members[member].name.clone();
                self.stopped.push(name);
                self.members[member].fault = Fault::Killed;
                self.members[member].listed = false;
            }
            Effect::CloseWorker { .. }
            | Effect::Ready(_)
            | Effect::Waited { .. }
            | Effect::Ended { .. } => {}
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.members[a].cut_from_peers || self.members[b].cut_from_peers
    }

    fn peer_call(
        &mut self,
        from: usize,
        call: CallId,
        to: usize,
        request: lilacpass_control::event::PeerCall,
    ) {
        self.next_reply += 1;
        let reply = self.next_reply;
        self.peer_calls.insert((to, reply), (from, call));
        self.deliver(to, Event::PeerRequest { reply: ReplyId(reply), request });
    }

    fn worker_call(
        &mut self,
        from: usize,
        call: CallId,
        name: &str,
        sent_at: MonoTime,
        request: WorkerCall,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.dead {
            let result = Err(failure(Verdict::NotRun, FailureKind::Connect, "refused"));
            self.schedule(
                HOP,
                Arrival::ToMember(from, Event::WorkerDone { call, sent_at, result }),
            );
            return;
        }
        if worker.silent {
            return;
        }
        let (loses, mute) = (worker.loses_answers || worker.mute, worker.mute);
        let reply = match request {
            WorkerCall::Run(request) => {
                let runs = worker.run(&request, now);
                let worker = name.to_owned();
                if !loses {
                    self.schedule(runs, Arrival::RunEnds { from, call, worker, sent_at, request });
                }
                return;
            }
            WorkerCall::Start(request) => WorkerReply::Start(worker.start(&request, now)),
            WorkerCall::Renew(request) => WorkerReply::Renew(worker.renew(&request, now)),
            WorkerCall::Control(request) => WorkerReply::Control(worker.control(&request, now)),
            WorkerCall::Report(request) => {
                let news = worker.version != request.known_version;
                let wait = if news { 0 } else { request.wait_ms };
                if wait > 0 {
                    let again = v1::ReportRequest { known_version: 0, wait_ms: 0, ..request };
                    let request = WorkerCall::Report(again);
                    let worker = name.to_owned();
                    let arrival = Arrival::WorkerCall { from, call, worker, sent_at, request };
                    self.schedule(Duration::from_millis(wait.min(20)), arrival);
                    return;
                }
                WorkerReply::Report(worker.report(&request, now))
            }
        };
        if mute || (loses && matches!(reply, WorkerReply::Start(_))) {
            return;
        }
        self.schedule(
            HOP,
            Arrival::ToMember(from, Event::WorkerDone { call, sent_at, result: Ok(reply) }),
        );
    }

    fn run_ends(
        &mut self,
        from: usize,
        call: CallId,
        name: &str,
        sent_at: MonoTime,
        request: &v1::RunRequest,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.dead || worker.silent {
            return;
        }
        let answer = worker.run_answer(request, now);
        let result = Ok(WorkerReply::Run(answer));
        self.schedule(HOP, Arrival::ToMember(from, Event::WorkerDone { call, sent_at, result }));
    }

    fn append(&mut self, from: usize, call: CallId, stream: Stream, records: Vec<v1::Record>) {
        let refuses = matches!(self.log.mode, Mode::Down | Mode::ReadOnly);
        if refuses || self.members[from].cut_from_log {
            let result = Err(failure(Verdict::NotRun, FailureKind::Connect, "down"));
            self.schedule(HOP, Arrival::ToMember(from, Event::Appended { call, result }));
            return;
        }
        if self.log.mode == Mode::Late {
            let lost = failure(Verdict::MayHaveRun, FailureKind::Timeout, "no answer");
            let done = Event::Appended { call, result: Err(lost) };
            self.schedule(Duration::from_millis(500), Arrival::ToMember(from, done));
            self.schedule(LATE, Arrival::Landed { from, stream, records });
            return;
        }
        let data_centre = self.members[from].data_centre.clone();
        let first = self.log.append(stream, &data_centre, records, self.now);
        let (after, result) = match self.log.mode {
            Mode::LosesAnswers => {
                let lost = failure(Verdict::MayHaveRun, FailureKind::Timeout, "no answer");
                (Duration::from_millis(500), Err(lost))
            }
            _ => (HOP, Ok(first)),
        };
        self.schedule(after, Arrival::ToMember(from, Event::Appended { call, result }));
        for member in 0..self.members.len() {
            let lag = self.members[member].read_lag;
            self.schedule(HOP + lag, Arrival::Read { member, stream, timer: false });
        }
    }

    /// Answers the read that a member has open on a stream: news, or nothing after a wait.
    fn read(&mut self, member: usize, stream: Stream) {
        let now = self.now;
        let log_down = self.log.mode == Mode::Down;
        let m = &mut self.members[member];
        if m.fault != Fault::None {
            return;
        }
        let from = *m.read_from.get(&stream).unwrap_or(&0);
        let first = !m.read_sent.contains_key(&stream);
        let sent_at = *m.read_sent.entry(stream).or_insert(now);
        if m.cut_from_log || log_down {
            m.read_sent.insert(stream, now);
            self.deliver(member, Event::ReadFailed { stream });
            return;
        }
        let data_centre = m.data_centre.clone();
        let lag = m.read_lag;
        let tail = self.log.tail_at(stream, &data_centre, now - lag);
        let waited = now.since(sent_at) >= READ_WAIT;
        if tail == from && !waited && !first {
            return;
        }
        let mut records = self.log.read(stream, &data_centre, from);
        records.retain(|(offset, _)| offset.0 < tail);
        let oldest = self.log.oldest(stream, &data_centre);
        let records =
            records.into_iter().map(|(at, r)| (at, ReadRecord::Good(Box::new(r)))).collect();
        let m = &mut self.members[member];
        m.read_from.insert(stream, tail);
        m.read_sent.insert(stream, now);
        let read =
            Event::Read { stream, sent_at, records, tail: Offset(tail), oldest: Offset(oldest) };
        self.deliver(member, read);
    }

    fn list(&mut self, member: usize) {
        if self.members[member].fault == Fault::Killed {
            return;
        }
        let instances = self
            .members
            .iter()
            .enumerate()
            .filter(|(_, m)| m.listed)
            .map(|(index, m)| v1::Instance {
                name: m.name.clone(),
                data_centre: m.data_centre.clone(),
                role: v1::InstanceRole::Entry.into(),
                state: v1::InstanceState::Live.into(),
                address: format!("127.1.0.{}:9000", index + 1),
                incarnation: m.incarnation,
            })
            .collect();
        self.schedule(LIST_EVERY, Arrival::List { member });
        self.deliver(
            member,
            Event::InstanceList(v1::ListInstancesAnswer { instances, version: 1 }),
        );
    }
}

fn failure(verdict: Verdict, kind: FailureKind, detail: &str) -> CallFailure {
    CallFailure { verdict, kind, detail: detail.to_owned() }
}
