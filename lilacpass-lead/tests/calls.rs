//! Failures that were seen, each as a story in which the calls of the leader are answered by hand.

mod world;

use lilacpass_core::{Resources, Verdict};
use lilacpass_jobs::{EndReason, JobKey, TaskName, WorkerName};
use lilacpass_lead::{
    Effect, Event, Leader, Now, Options,
    event::{
        CallError, PollResponse, Record, Refusal, Registration, ReportedEnd, ReportedRun, Request,
        RequestId, Response,
    },
};
use lilacpass_schema::v1;
use world::{plan, queue, step};

/// A sweep whose tasks talk to each other is slow: its tasks were spread over two racks though one
/// had room for all.
#[test]
fn tasks_that_want_one_rack_get_one_that_has_room() {
    let mut single = Single::new(&[]);
    for (name, rack) in [("w-0", "r-1"), ("w-1", "r-2"), ("w-2", "r-2")] {
        let entry =
            Registration { labels: vec!["a".to_owned(), rack.to_owned()], ..registration(name) };
        single.tell(Event::WorkerRegistered(entry));
        single.looked(name, &[], &[]);
    }
    let effects = single.submit(1, &[v1::WorkStep { one_rack: true, ..step(3, 4_000, 1_000) }]);
    let hosts: Vec<WorkerName> = starts(&effects).into_iter().map(|(worker, ..)| worker).collect();
    assert_eq!(hosts.len(), 3);
    assert!(!hosts.contains(&WorkerName::from("w-0")), "all are on the rack with room for three");
}

/// A leader with one worker, whose calls are answered by hand.
struct Single {
    leader: Leader,
    now_ms: u64,
}

const WORKER: &str = "w-0";

impl Single {
    fn new(workers: &[&str]) -> Self {
        let mut single = Self {
            leader: Leader::new(Options::default(), Vec::new(), Now::default()),
            now_ms: 1_000,
        };
        for name in workers {
            single.leader.handle(Event::WorkerRegistered(registration(name)), single.now());
            single.looked(name, &[], &[]);
        }
        single
    }

    fn now(&self) -> Now {
        Now { steady_ms: self.now_ms, unix_ms: self.now_ms }
    }

    fn tell(&mut self, event: Event) -> Vec<Effect> {
        self.now_ms += 1;
        let now = self.now();
        self.leader.handle(event, now);
        let mut effects = self.leader.finish(now);
        // What is recorded is stored at once.
        if effects.iter().any(|effect| matches!(effect, Effect::Append(_))) {
            self.leader.handle(Event::Appended, now);
            effects.extend(self.leader.finish(now));
        }
        effects
    }

    fn looked(
        &mut self,
        name: &str,
        running: &[(TaskName, u32)],
        ends: &[ReportedEnd],
    ) -> Vec<Effect> {
        let running = running
            .iter()
            .map(|(task, run)| ReportedRun {
                task: *task,
                run: *run,
                checkpoint: String::new(),
                percent: 10,
                gauge: 0,
            })
            .collect();
        let answer = PollResponse {
            clock_ms: self.now_ms,
            running,
            ends: ends.to_vec(),
            remaining_ms: None,
        };
        let worker = WorkerName::from(name);
        let sent_ms = self.now_ms;
        self.tell(Event::Polled { worker, sent_ms, extra: false, result: Ok(answer) })
    }

    fn look_lost(&mut self, name: &str) -> Vec<Effect> {
        let worker = WorkerName::from(name);
        let sent_ms = self.now_ms;
        let result = Err(CallError::Failed(Verdict::MayHaveRun));
        self.tell(Event::Polled { worker, sent_ms, extra: false, result })
    }

    fn submit(&mut self, key: u64, steps: &[v1::WorkStep]) -> Vec<Effect> {
        let request =
            Request::Submit { job: JobKey(key), plan: plan(steps), queue: queue("quick", 0) };
        self.tell(Event::Request { request_id: RequestId(key), request })
    }
}

fn registration(name: &str) -> Registration {
    Registration {
        name: WorkerName::from(name),
        address: format!("{name}:80"),
        data_centre: "here".to_owned(),
        service: "pool".to_owned(),
        capacity: Resources::new(8_000, 1_000, 0, 0),
        labels: vec!["a".to_owned(), "r-1".to_owned()],
        draining: false,
    }
}

fn starts(effects: &[Effect]) -> Vec<(WorkerName, TaskName, u32)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Start { worker, task, run, .. } => Some((worker.clone(), *task, *run)),
            _ => None,
        })
        .collect()
}

/// A sweep that needs all its tasks at once stands still for seconds: one member's start was refused,
/// and the others waited for it until their worker gave them up as alone.
#[test]
fn a_gang_that_loses_a_member_is_stopped_at_once() {
    let mut single = Single::new(&["w-0", "w-1"]);
    let gang = v1::WorkStep { gang: true, ..step(2, 5_000, 1_000) };
    let effects = single.submit(1, &[gang]);
    let started = starts(&effects);
    assert_eq!(started.len(), 2, "both members are ordered together");
    let (worker, task, run) = started[0].clone();
    single.tell(Event::Started { worker, task, run, result: Ok(()) });
    let (worker, task, run) = started[1].clone();
    let result = Err(CallError::Refused(Refusal::Room));
    let effects = single.tell(Event::Started { worker, task, run, result });
    let stopped = effects
        .iter()
        .any(|effect| matches!(effect, Effect::Stop { task, run: 1, .. } if *task == started[0].1));
    assert!(stopped, "the other member is stopped");
}

/// A start got no answer and is carried out ten seconds later, when the task has long been done
/// elsewhere: two reports for one request. The number of the run must be made void at the worker
/// before the task is given to another.
#[test]
fn a_start_without_an_answer_is_made_void_before_the_task_moves() {
    let mut single = Single::new(&["w-0", "w-1"]);
    let effects = single.submit(1, &[step(1, 5_000, 1_000)]);
    let (worker, task, run) = starts(&effects)[0].clone();
    let result = Err(CallError::Failed(Verdict::MayHaveRun));
    let effects = single.tell(Event::Started { worker: worker.clone(), task, run, result });
    assert!(starts(&effects).is_empty(), "not moved while it may run");
    let effects = single.looked(worker.as_str(), &[], &[]);
    assert!(starts(&effects).is_empty(), "nor after a look that may be older");
    let effects = single.looked(worker.as_str(), &[], &[]);
    let stops = effects.iter().filter(|effect| matches!(effect, Effect::Stop { .. })).count();
    assert_eq!(stops, 1, "it is stopped, so that it can't start later");
    let stopped = Event::Stopped { worker: worker.clone(), task, run, result: Ok(()) };
    single.tell(stopped);
    single.now_ms += 2_000;
    let effects = single.looked(worker.as_str(), &[], &[]);
    let again = starts(&effects);
    assert_eq!(again.len(), 1, "now it moves");
    assert_eq!(again[0].2, 2, "under a new number");
}

/// Quick checks fail one after the other while most workers are free: a worker that fails all that
/// it starts looks idle, and the retries go there until their attempts are used up.
#[test]
fn a_worker_that_fails_several_jobs_gets_none_for_a_while() {
    let mut single = Single::new(&["w-0", "w-1", "w-2", "w-3"]);
    let mut failed = 0;
    let mut ends = Vec::new();
    for key in 1..=4 {
        let effects = single.submit(key, &[step(1, 100, 1_000)]);
        let (worker, task, run) = starts(&effects)[0].clone();
        single.tell(Event::Started { worker: worker.clone(), task, run, result: Ok(()) });
        if worker.as_str() != WORKER && failed < 2 {
            // Sound workers take long here, so the emptiest is the one that fails.
            continue;
        }
        failed += 1;
        let end =
            lilacpass_jobs::RunEnd { run, reason: EndReason::Failed, checkpoint: String::new() };
        ends.push(ReportedEnd { number: ends.len() as u64 + 1, task, end });
        single.looked(worker.as_str(), &[], &ends);
    }
    let effects = single.submit(9, &[step(4, 100, 1_000)]);
    let on_bad = starts(&effects).iter().filter(|(worker, ..)| worker.as_str() == WORKER).count();
    assert_eq!(on_bad, 0, "a worker with a failure gets nothing while clean ones have room");
}

/// The same worker, when it is the only one with room: it gets no work at all for a while, else each
/// retry would burn an attempt of its job.
#[test]
fn a_worker_that_fails_several_jobs_rests_even_if_it_alone_has_room() {
    let mut single = Single::new(&["w-0", "w-1", "w-2", "w-3"]);
    let filler =
        single.submit(100, &[v1::WorkStep { max_per_worker: 1, ..step(4, 7_000, 60_000) }]);
    let mut ends = Vec::new();
    for (worker, task, run) in starts(&filler) {
        single.tell(Event::Started { worker: worker.clone(), task, run, result: Ok(()) });
        if worker.as_str() == WORKER {
            let end =
                lilacpass_jobs::RunEnd { run, reason: EndReason::Done, checkpoint: String::new() };
            ends.push(ReportedEnd { number: 1, task, end });
        }
    }
    single.looked(WORKER, &[], &ends);
    for key in 1..=2 {
        let effects = single.submit(key, &[step(1, 5_000, 1_000)]);
        let (worker, task, run) = starts(&effects)[0].clone();
        assert_eq!(worker.as_str(), WORKER, "no other has room");
        single.tell(Event::Started { worker, task, run, result: Ok(()) });
        let end =
            lilacpass_jobs::RunEnd { run, reason: EndReason::Failed, checkpoint: String::new() };
        ends.push(ReportedEnd { number: ends.len() as u64 + 1, task, end });
        let effects = single.looked(WORKER, &[], &ends);
        if key == 2 {
            assert!(starts(&effects).is_empty(), "two jobs failed there, and it rests");
        } else {
            // The retry of the first job runs on; it frees its room for the second.
            for (worker, task, run) in starts(&effects) {
                single.tell(Event::Started { worker, task, run, result: Ok(()) });
                let end = lilacpass_jobs::RunEnd {
                    run,
                    reason: EndReason::Stopped,
                    checkpoint: String::new(),
                };
                ends.push(ReportedEnd { number: ends.len() as u64 + 1, task, end });
            }
            single.tell(Event::Request {
                request_id: RequestId(50),
                request: Request::Cancel(JobKey(1)),
            });
            single.looked(WORKER, &[], &ends);
        }
    }
}

/// An audit runs a second time though its report was there: its worker was silent for longer than its
/// lease, was given up, and then listed the end as done.
#[test]
fn an_end_as_done_counts_after_its_run_was_given_up() {
    let mut single = Single::new(&["w-0", "w-1"]);
    let effects = single.submit(1, &[step(1, 5_000, 1_000)]);
    let (worker, task, run) = starts(&effects)[0].clone();
    single.tell(Event::Started { worker: worker.clone(), task, run, result: Ok(()) });
    single.now_ms += 10_000;
    let sent_ms = single.now_ms;
    single.tell(Event::LeadershipConfirmed { sent_ms });
    let effects = single.tell(Event::Tick);
    let again = starts(&effects);
    assert_eq!(again.len(), 1, "it starts elsewhere");
    let end = lilacpass_jobs::RunEnd { run, reason: EndReason::Done, checkpoint: String::new() };
    let effects = single.looked(worker.as_str(), &[], &[ReportedEnd { number: 1, task, end }]);
    let stopped = effects.iter().any(|effect| matches!(effect, Effect::Stop { run: 2, .. }));
    assert!(stopped, "the second run is stopped");
    let effects = single
        .tell(Event::Request { request_id: RequestId(9), request: Request::State(JobKey(1)) });
    let completed = Response::State(lilacpass_lead::event::JobState::Completed);
    assert!(replies(&effects).contains(&completed), "the first counts");
}

/// Callers' records: an accepted job must be in the store before its caller hears of it.
#[test]
fn a_job_is_stored_before_its_caller_is_told() {
    let mut leader = Leader::new(Options::default(), Vec::new(), Now::default());
    let now = Now { steady_ms: 10, unix_ms: 10 };
    let request =
        Request::Submit { job: JobKey(1), plan: plan(&[step(1, 1, 1)]), queue: queue("q", 0) };
    leader.handle(Event::Request { request_id: RequestId(1), request }, now);
    let effects = leader.finish(now);
    let is_reply = |effect: &Effect| matches!(effect, Effect::Reply { .. });
    assert!(!effects.iter().any(is_reply), "not told yet");
    let records: Vec<&Record> = effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Append(records) => Some(records),
            _ => None,
        })
        .flatten()
        .collect();
    assert_eq!(records.len(), 1, "its plan is stored");
    leader.handle(Event::Appended, now);
    assert!(leader.finish(now).iter().any(is_reply), "now it is told");
}

/// A caller is told that its job does not exist, though a successor of the instance that it asked has
/// accepted it: the old leader had not noticed yet that it was replaced.
#[test]
fn an_unsure_leader_does_not_say_that_a_job_is_unknown() {
    let mut single = Single::new(&[WORKER]);
    single.now_ms += 5_000;
    let effects = single
        .tell(Event::Request { request_id: RequestId(1), request: Request::State(JobKey(77)) });
    let unknown = |answer: &Response| matches!(answer, Response::UnknownJob);
    assert!(!replies(&effects).iter().any(unknown));
    let sent_ms = single.now_ms;
    single.tell(Event::LeadershipConfirmed { sent_ms });
    let effects = single
        .tell(Event::Request { request_id: RequestId(2), request: Request::State(JobKey(77)) });
    assert!(replies(&effects).iter().any(unknown));
}

fn replies(effects: &[Effect]) -> Vec<Response> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Reply { response, .. } => Some(response.clone()),
            _ => None,
        })
        .collect()
}

/// Half of a large cell stands idle while callers wait: one answer in twenty is lost, so that some
/// worker of each data centre is always silent, and their neighbours were held back with them.
#[test]
fn workers_are_not_held_back_for_silent_ones_while_their_data_centre_answers() {
    let mut single = Single::new(&["w-0", "w-1", "w-2", "w-3"]);
    single.now_ms += 400;
    single.looked("w-3", &[], &[]);
    for name in ["w-0", "w-1"] {
        single.look_lost(name);
    }
    let effects = single.submit(1, &[v1::WorkStep { max_per_worker: 1, ..step(2, 5_000, 1_000) }]);
    assert_eq!(starts(&effects).len(), 2, "both workers that answered get work");
}

/// The same with a data centre that is cut off: each start sent there would cost its task seconds.
/// A worker that answers a look from then on gets work again at once.
#[test]
fn workers_of_a_silent_data_centre_are_held_back_until_they_answer() {
    let mut single = Single::new(&["w-0", "w-1", "w-2", "w-3"]);
    single.now_ms += 400;
    for name in ["w-0", "w-1"] {
        single.look_lost(name);
    }
    let effects = single.submit(1, &[step(1, 5_000, 1_000)]);
    assert!(starts(&effects).is_empty(), "none of the data centre gets work");
    let effects = single.looked("w-3", &[], &[]);
    let hosts: Vec<WorkerName> = starts(&effects).into_iter().map(|(worker, ..)| worker).collect();
    assert_eq!(hosts, [WorkerName::from("w-3")], "until it answers");
}

/// Checks are late though their tasks ended in time: one answer in twenty is lost, and each hides what
/// ended on its worker until the look is given up. Looks must then wait for less time.
#[test]
fn looks_are_short_while_answers_get_lost() {
    let workers = ["w-0", "w-1", "w-2", "w-3"];
    let mut single = Single::new(&workers);
    let waits = |effects: &[Effect]| -> Vec<u64> {
        let wait = |effect: &Effect| match effect {
            Effect::Poll { wait_ms, answer_ms, .. } => Some(wait_ms + answer_ms),
            _ => None,
        };
        effects.iter().filter_map(wait).collect()
    };
    let before = waits(&single.looked("w-0", &[], &[]));
    for name in workers {
        let effects = single.look_lost(name);
        assert_eq!(waits(&effects).len(), 1, "the first lost look is followed by another at once");
        single.looked(name, &[], &[]);
    }
    let after = waits(&single.looked("w-0", &[], &[]));
    assert!(after[0] < before[0] / 2, "{after:?} and {before:?}");
}

/// Nobody is served any more for as long as load stays high: a busy leader takes answers that wait in its
/// own queue for lost ones, looks more often for that, and is busier still.
#[test]
fn a_busy_leader_does_not_take_its_own_lateness_for_lost_answers() {
    let workers = ["w-0", "w-1", "w-2", "w-3"];
    let mut single = Single::new(&workers);
    let longest = |effects: &[Effect]| {
        let wait = |effect: &Effect| match effect {
            Effect::Poll { wait_ms, .. } => Some(*wait_ms),
            _ => None,
        };
        effects.iter().filter_map(wait).max()
    };
    single.tell(Event::Tick);
    let before = longest(&single.looked("w-0", &[], &[]));
    for name in workers {
        single.look_lost(name);
        single.looked(name, &[], &[]);
    }
    single.now_ms += 300;
    single.tell(Event::Tick);
    assert_eq!(longest(&single.looked("w-0", &[], &[])), before);
}

/// An overnight sweep runs twice. Its worker drained when its data centre was cut off; the store took the
/// registration back for want of a sign of life, and the leader took the worker for one that had left.
#[test]
fn a_draining_worker_that_is_cut_off_is_not_taken_for_gone() {
    let mut single = Single::new(&["w-0", "w-1"]);
    let effects = single.submit(1, &[step(1, 5_000, 6_000)]);
    let (worker, task, run) = starts(&effects)[0].clone();
    single.tell(Event::Started { worker: worker.clone(), task, run, result: Ok(()) });
    let other = if worker.as_str() == "w-0" { "w-1" } else { "w-0" };
    let drains = Registration { draining: true, ..registration(worker.as_str()) };
    single.tell(Event::WorkerRegistered(drains));
    single.now_ms += 5_000;
    single.looked(other, &[], &[]);
    single.looked(worker.as_str(), &[(task, run)], &[]);
    single.tell(Event::LeadershipConfirmed { sent_ms: single.now_ms });
    single.looked(worker.as_str(), &[(task, run)], &[]);
    single.tell(Event::WorkerUnregistered(worker.clone()));
    let effects = single.look_lost(worker.as_str());
    assert!(starts(&effects).is_empty(), "it may run on");
    single.now_ms += 1_900;
    single.looked(other, &[], &[]);
    assert!(starts(&single.tell(Event::Tick)).is_empty(), "for as long as its lease lasts");
    single.now_ms += 500;
    single.looked(other, &[], &[]);
    let again = starts(&single.tell(Event::Tick));
    assert_eq!(again.len(), 1, "a draining worker's leases are short");
    assert_eq!(again[0].2, 2);
}

/// A check of several tasks is late while the store is slow: one task's end was being stored, and until that was
/// done, most of a second, nobody looked whether the others on the worker had ended too.
#[test]
fn ends_are_heard_of_while_an_earlier_one_is_being_stored() {
    let mut single = Single::new(&[WORKER]);
    let started = starts(&single.submit(1, &[step(2, 1_000, 500)]));
    let (first, second) = (started[0].1, started[1].1);
    let end = |number, task| ReportedEnd {
        number,
        task,
        end: lilacpass_jobs::RunEnd { run: 1, reason: EndReason::Done, checkpoint: String::new() },
    };
    let looked = |now_ms: u64, ends: Vec<ReportedEnd>| Event::Polled {
        worker: WorkerName::from(WORKER),
        sent_ms: now_ms,
        extra: false,
        result: Ok(PollResponse {
            clock_ms: now_ms,
            running: Vec::new(),
            ends,
            remaining_ms: None,
        }),
    };
    // From here on no append is answered.
    single.leader.handle(looked(single.now_ms, vec![end(1, first)]), single.now());
    single.leader.finish(single.now());
    let is_look = |effect: &Effect| matches!(effect, Effect::Poll { extra: false, .. });
    let mut look_after_ms = None;
    for after_ms in (50..=500).step_by(50) {
        single.now_ms += 50;
        single.leader.handle(Event::Tick, single.now());
        if single.leader.finish(single.now()).iter().any(is_look) {
            look_after_ms = Some(after_ms);
            break;
        }
    }
    assert!(look_after_ms.is_some_and(|ms| ms <= 150), "looked after {look_after_ms:?} ms");
    single.leader.handle(looked(single.now_ms, vec![end(1, first), end(2, second)]), single.now());
    let job = single.leader.explain(JobKey(1), single.now()).expect("the job is known");
    assert_eq!(job.outcome, "completed");
}
