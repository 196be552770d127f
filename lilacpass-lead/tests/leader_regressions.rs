//! Regression tests of failures that were seen, with a leader whose calls are answered by the test itself.

mod world;

use lilacpass_core::Verdict;
use lilacpass_jobs::{EndReason, JobKey, WorkerName};
use lilacpass_lead::{
    Effect, Event, Leader, Now, Options,
    event::{
        CallError, PollResponse, Record, Refusal, Registration, ReportedEnd, Request, RequestId,
        Requester, Response,
    },
};
use lilacpass_schema::v1;
use world::{
    fixture::{LeaderFixture, registration, starts},
    plan, queue, step,
};

/// Failure: a job whose tasks communicate with each other was slow. Its tasks were spread over two racks though one
/// rack had the capacity for all.
#[test]
fn tasks_that_need_one_rack_get_one_that_fits_them() {
    let mut fixture = LeaderFixture::new(&[]);
    for (name, rack) in [("w-0", "r-1"), ("w-1", "r-2"), ("w-2", "r-2")] {
        let registration =
            Registration { labels: vec!["a".to_owned(), rack.to_owned()], ..registration(name) };
        fixture.handle(Event::WorkerRegistered(registration));
        fixture.poll_answered(name, &[], &[]);
    }
    let effects = fixture.submit(1, &[v1::WorkStep { one_rack: true, ..step(3, 4_000, 1_000) }]);
    let hosts: Vec<WorkerName> = starts(&effects).into_iter().map(|(worker, ..)| worker).collect();
    assert_eq!(hosts.len(), 3);
    assert!(!hosts.contains(&WorkerName::from("w-0")), "all are on the rack that fits three tasks");
}

const WORKER: &str = "w-0";

/// Failure: a gang made no progress for seconds. The start of one member was refused, and the others waited for it
/// until their worker ended them because their gang was incomplete.
#[test]
fn a_gang_that_loses_a_member_is_stopped_at_once() {
    let mut fixture = LeaderFixture::new(&["w-0", "w-1"]);
    let gang = v1::WorkStep { gang: true, ..step(2, 5_000, 1_000) };
    let effects = fixture.submit(1, &[gang]);
    let started = starts(&effects);
    assert_eq!(started.len(), 2, "both members are started together");
    let (worker, task, run) = started[0].clone();
    fixture.handle(Event::Started { worker, task, run, result: Ok(()) });
    let (worker, task, run) = started[1].clone();
    let result = Err(CallError::Refused(Refusal::Room));
    let effects = fixture.handle(Event::Started { worker, task, run, result });
    let stopped = effects
        .iter()
        .any(|effect| matches!(effect, Effect::Stop { task, run: 1, .. } if *task == started[0].1));
    assert!(stopped, "the other member is stopped");
}

/// Failure: a start got no response and was carried out ten seconds later, when the task had long completed elsewhere,
/// so that one job had two results. The worker must confirm that the run can't start any more before the task is
/// assigned to another worker.
#[test]
fn a_start_without_a_response_is_stopped_before_the_task_moves() {
    let mut fixture = LeaderFixture::new(&["w-0", "w-1"]);
    let effects = fixture.submit(1, &[step(1, 5_000, 1_000)]);
    let (worker, task, run) = starts(&effects)[0].clone();
    let result = Err(CallError::Failed(Verdict::MayHaveRun));
    let effects = fixture.handle(Event::Started { worker: worker.clone(), task, run, result });
    assert!(starts(&effects).is_empty(), "not moved while it may run");
    let effects = fixture.poll_answered(worker.id(), &[], &[]);
    assert!(starts(&effects).is_empty(), "nor after a poll that may be older");
    let effects = fixture.poll_answered(worker.id(), &[], &[]);
    let stops = effects.iter().filter(|effect| matches!(effect, Effect::Stop { .. })).count();
    assert_eq!(stops, 1, "it is stopped, so that it can't start later");
    let stopped = Event::Stopped { worker: worker.clone(), task, run, result: Ok(()) };
    fixture.handle(stopped);
    fixture.now_ms += 2_000;
    let effects = fixture.poll_answered(worker.id(), &[], &[]);
    let next_starts = starts(&effects);
    assert_eq!(next_starts.len(), 1, "now it moves");
    assert_eq!(next_starts[0].2, 2, "with a new run number");
}

/// Failure: quick jobs failed one after the other while most workers were free. A worker that fails all its runs looks
/// idle, so the retries went there until their attempts were used up.
#[test]
fn a_worker_that_fails_several_jobs_is_avoided_while_others_have_capacity() {
    let mut fixture = LeaderFixture::new(&["w-0", "w-1", "w-2", "w-3"]);
    let mut failed = 0;
    let mut ends = Vec::new();
    for key in 1..=4 {
        let effects = fixture.submit(key, &[step(1, 100, 1_000)]);
        let (worker, task, run) = starts(&effects)[0].clone();
        fixture.handle(Event::Started { worker: worker.clone(), task, run, result: Ok(()) });
        if worker.id() != WORKER && failed < 2 {
            // Runs on sound workers are not done yet, so the worker with the most free capacity is the faulty one.
            continue;
        }
        failed += 1;
        let end =
            lilacpass_jobs::RunEnd { run, reason: EndReason::Failed, checkpoint: String::new() };
        ends.push(ReportedEnd { number: ends.len() as u64 + 1, task, end });
        fixture.poll_answered(worker.id(), &[], &ends);
    }
    let effects = fixture.submit(9, &[step(4, 100, 1_000)]);
    let on_faulty_worker =
        starts(&effects).iter().filter(|(worker, ..)| worker.id() == WORKER).count();
    assert_eq!(
        on_faulty_worker, 0,
        "a worker with failures gets nothing while others have capacity"
    );
}

/// As above, but no other worker has free capacity: the faulty worker must get nothing for a while, because each retry
/// would use up an attempt of its job.
#[test]
fn a_worker_that_fails_several_jobs_is_quarantined_even_if_no_other_has_capacity() {
    let mut fixture = LeaderFixture::new(&["w-0", "w-1", "w-2", "w-3"]);
    let long_starts =
        fixture.submit(100, &[v1::WorkStep { max_per_worker: 1, ..step(4, 7_000, 60_000) }]);
    let mut ends = Vec::new();
    for (worker, task, run) in starts(&long_starts) {
        fixture.handle(Event::Started { worker: worker.clone(), task, run, result: Ok(()) });
        if worker.id() == WORKER {
            let end =
                lilacpass_jobs::RunEnd { run, reason: EndReason::Done, checkpoint: String::new() };
            ends.push(ReportedEnd { number: 1, task, end });
        }
    }
    fixture.poll_answered(WORKER, &[], &ends);
    for key in 1..=2 {
        let effects = fixture.submit(key, &[step(1, 5_000, 1_000)]);
        let (worker, task, run) = starts(&effects)[0].clone();
        assert_eq!(worker.id(), WORKER, "no other has free capacity");
        fixture.handle(Event::Started { worker, task, run, result: Ok(()) });
        let end =
            lilacpass_jobs::RunEnd { run, reason: EndReason::Failed, checkpoint: String::new() };
        ends.push(ReportedEnd { number: ends.len() as u64 + 1, task, end });
        let effects = fixture.poll_answered(WORKER, &[], &ends);
        if key == 2 {
            assert!(starts(&effects).is_empty(), "two jobs failed there, so it is quarantined");
        } else {
            // Ends the retry of the first job, so that the second one fits.
            for (worker, task, run) in starts(&effects) {
                fixture.handle(Event::Started { worker, task, run, result: Ok(()) });
                let end = lilacpass_jobs::RunEnd {
                    run,
                    reason: EndReason::Stopped,
                    checkpoint: String::new(),
                };
                ends.push(ReportedEnd { number: ends.len() as u64 + 1, task, end });
            }
            fixture.handle(Event::Request {
                request_id: RequestId(50),
                request: Request::Cancel(JobKey(1), Requester::default()),
            });
            fixture.poll_answered(WORKER, &[], &ends);
        }
    }
}

/// Failure: a task ran a second time though it had completed. Its worker was unresponsive for longer than the lease,
/// the task was started elsewhere, and then the worker reported the successful end of the first run.
#[test]
fn a_successful_end_counts_after_the_leases_of_its_worker_have_expired() {
    let mut fixture = LeaderFixture::new(&["w-0", "w-1"]);
    let effects = fixture.submit(1, &[step(1, 5_000, 1_000)]);
    let (worker, task, run) = starts(&effects)[0].clone();
    fixture.handle(Event::Started { worker: worker.clone(), task, run, result: Ok(()) });
    fixture.now_ms += 10_000;
    let sent_ms = fixture.now_ms;
    fixture.handle(Event::LeadershipConfirmed { sent_ms });
    let effects = fixture.handle(Event::Tick);
    let next_starts = starts(&effects);
    assert_eq!(next_starts.len(), 1, "it starts elsewhere");
    let end = lilacpass_jobs::RunEnd { run, reason: EndReason::Done, checkpoint: String::new() };
    let effects = fixture.poll_answered(worker.id(), &[], &[ReportedEnd { number: 1, task, end }]);
    let stopped = effects.iter().any(|effect| matches!(effect, Effect::Stop { run: 2, .. }));
    assert!(stopped, "the second run is stopped");
    let effects = fixture.handle(Event::Request {
        request_id: RequestId(9),
        request: Request::State(JobKey(1), Requester::default()),
    });
    let completed = Response::State(lilacpass_lead::event::JobState::Completed);
    assert!(replies(&effects).contains(&completed), "the first run counts");
}

/// An accepted job must be stored before its client is told so.
#[test]
fn a_job_is_stored_before_its_client_is_told() {
    let mut leader = Leader::new(Options::default(), Vec::new(), Now::default());
    let now = Now { steady_ms: 10, unix_ms: 10 };
    let request = Request::Submit {
        job: JobKey(1),
        plan: plan(&[step(1, 1, 1)]),
        queue: queue("q", 0),
        account: None,
    };
    leader.handle(Event::Request { request_id: RequestId(1), request }, now);
    let effects = leader.finish(now);
    let is_reply = |effect: &Effect| matches!(effect, Effect::Reply { .. });
    assert!(!effects.iter().any(is_reply), "no response yet");
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
    assert!(leader.finish(now).iter().any(is_reply), "now there is a response");
}

/// Failure: a client was told that its job does not exist although a new leader had accepted it. The client had sent
/// its request to the former leader, which had not noticed yet that it was replaced.
#[test]
fn a_leader_without_recent_confirmation_does_not_report_a_job_as_unknown() {
    let mut fixture = LeaderFixture::new(&[WORKER]);
    fixture.now_ms += 5_000;
    let effects = fixture.handle(Event::Request {
        request_id: RequestId(1),
        request: Request::State(JobKey(77), Requester::default()),
    });
    let unknown = |response: &Response| matches!(response, Response::UnknownJob);
    assert!(!replies(&effects).iter().any(unknown));
    let sent_ms = fixture.now_ms;
    fixture.handle(Event::LeadershipConfirmed { sent_ms });
    let effects = fixture.handle(Event::Request {
        request_id: RequestId(2),
        request: Request::State(JobKey(77), Requester::default()),
    });
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

/// Failure: half of a large cell stood idle while clients waited. With one response in twenty lost, some workers of
/// each data centre were unresponsive at any time, and the leader started nothing on the others there either.
#[test]
fn workers_get_starts_while_others_of_their_data_centre_are_unresponsive() {
    let mut fixture = LeaderFixture::new(&["w-0", "w-1", "w-2", "w-3"]);
    fixture.now_ms += 400;
    fixture.poll_answered("w-3", &[], &[]);
    for name in ["w-0", "w-1"] {
        fixture.poll_failed(name);
    }
    let effects = fixture.submit(1, &[v1::WorkStep { max_per_worker: 1, ..step(2, 5_000, 1_000) }]);
    assert_eq!(starts(&effects).len(), 2, "both workers that responded get work");
}

/// In a data centre that is cut off, each start that is sent would delay its task for seconds. A worker that answers a
/// poll from then on gets work again at once.
#[test]
fn workers_of_an_unresponsive_data_centre_get_no_starts_until_they_respond() {
    let mut fixture = LeaderFixture::new(&["w-0", "w-1", "w-2", "w-3"]);
    fixture.now_ms += 400;
    for name in ["w-0", "w-1"] {
        fixture.poll_failed(name);
    }
    let effects = fixture.submit(1, &[step(1, 5_000, 1_000)]);
    assert!(starts(&effects).is_empty(), "no worker of the data centre gets work");
    let effects = fixture.poll_answered("w-3", &[], &[]);
    let hosts: Vec<WorkerName> = starts(&effects).into_iter().map(|(worker, ..)| worker).collect();
    assert_eq!(hosts, [WorkerName::from("w-3")], "until it responds");
}

/// Failure: jobs were late though their tasks ended in time. With one response in twenty lost, each lost one hid the
/// ends on its worker until the poll timed out. Polls must have shorter waits meanwhile.
#[test]
fn polls_are_short_while_responses_are_lost() {
    let workers = ["w-0", "w-1", "w-2", "w-3"];
    let mut fixture = LeaderFixture::new(&workers);
    let poll_times = |effects: &[Effect]| -> Vec<u64> {
        let wait = |effect: &Effect| match effect {
            Effect::Poll { wait_ms, answer_ms, .. } => Some(wait_ms + answer_ms),
            _ => None,
        };
        effects.iter().filter_map(wait).collect()
    };
    let before = poll_times(&fixture.poll_answered("w-0", &[], &[]));
    for name in workers {
        let effects = fixture.poll_failed(name);
        assert_eq!(poll_times(&effects).len(), 1, "a first failed poll is repeated at once");
        fixture.poll_answered(name, &[], &[]);
    }
    let after = poll_times(&fixture.poll_answered("w-0", &[], &[]));
    assert!(after[0] < before[0] / 2, "{after:?} and {before:?}");
}

/// Failure: no client was served as long as the load stayed high. A busy leader counted responses that waited in its
/// own queue as lost, polled more often for that reason, and was even busier.
#[test]
fn a_busy_leader_does_not_take_its_own_lateness_for_lost_responses() {
    let workers = ["w-0", "w-1", "w-2", "w-3"];
    let mut fixture = LeaderFixture::new(&workers);
    let longest_wait = |effects: &[Effect]| {
        let wait = |effect: &Effect| match effect {
            Effect::Poll { wait_ms, .. } => Some(*wait_ms),
            _ => None,
        };
        effects.iter().filter_map(wait).max()
    };
    fixture.handle(Event::Tick);
    let before = longest_wait(&fixture.poll_answered("w-0", &[], &[]));
    for name in workers {
        fixture.poll_failed(name);
        fixture.poll_answered(name, &[], &[]);
    }
    fixture.now_ms += 300;
    fixture.handle(Event::Tick);
    assert_eq!(longest_wait(&fixture.poll_answered("w-0", &[], &[])), before);
}

/// Failure: a long task ran twice. Its worker was draining when its data centre was cut off; the store dropped the
/// registration for lack of heartbeats, and the leader presumed that the worker had left.
#[test]
fn a_draining_worker_that_is_cut_off_is_not_presumed_gone() {
    let mut fixture = LeaderFixture::new(&["w-0", "w-1"]);
    let effects = fixture.submit(1, &[step(1, 5_000, 6_000)]);
    let (worker, task, run) = starts(&effects)[0].clone();
    fixture.handle(Event::Started { worker: worker.clone(), task, run, result: Ok(()) });
    let other = if worker.id() == "w-0" { "w-1" } else { "w-0" };
    let draining = Registration { draining: true, ..registration(worker.id()) };
    fixture.handle(Event::WorkerRegistered(draining));
    fixture.now_ms += 5_000;
    fixture.poll_answered(other, &[], &[]);
    fixture.poll_answered(worker.id(), &[(task, run)], &[]);
    fixture.handle(Event::LeadershipConfirmed { sent_ms: fixture.now_ms });
    fixture.poll_answered(worker.id(), &[(task, run)], &[]);
    fixture.handle(Event::WorkerUnregistered(worker.clone()));
    let effects = fixture.poll_failed(worker.id());
    assert!(starts(&effects).is_empty(), "it may run on");
    fixture.now_ms += 1_900;
    fixture.poll_answered(other, &[], &[]);
    assert!(starts(&fixture.handle(Event::Tick)).is_empty(), "as long as its lease may last");
    fixture.now_ms += 500;
    fixture.poll_answered(other, &[], &[]);
    let next_starts = starts(&fixture.handle(Event::Tick));
    assert_eq!(next_starts.len(), 1, "the leases of a draining worker are short");
    assert_eq!(next_starts[0].2, 2);
}

/// Failure: a job of several tasks was late while the store was slow. Until the end of one task was stored, which took
/// most of a second, the worker was not polled for the ends of the others.
#[test]
fn ends_are_seen_while_an_earlier_one_is_being_stored() {
    let mut fixture = LeaderFixture::new(&[WORKER]);
    let started = starts(&fixture.submit(1, &[step(2, 1_000, 500)]));
    let (first, second) = (started[0].1, started[1].1);
    let end = |number, task| ReportedEnd {
        number,
        task,
        end: lilacpass_jobs::RunEnd { run: 1, reason: EndReason::Done, checkpoint: String::new() },
    };
    let poll_answered = |now_ms: u64, ends: Vec<ReportedEnd>| Event::Polled {
        worker: WorkerName::from(WORKER),
        sent_ms: now_ms,
        extra: false,
        result: Ok(PollResponse {
            clock_ms: now_ms,
            running: Vec::new(),
            ends,
            ..PollResponse::default()
        }),
    };
    // From here on no append is confirmed.
    fixture.leader.handle(poll_answered(fixture.now_ms, vec![end(1, first)]), fixture.now());
    fixture.leader.finish(fixture.now());
    let is_poll = |effect: &Effect| matches!(effect, Effect::Poll { extra: false, .. });
    let mut polled_after_ms = None;
    for after_ms in (50..=500).step_by(50) {
        fixture.now_ms += 50;
        fixture.leader.handle(Event::Tick, fixture.now());
        if fixture.leader.finish(fixture.now()).iter().any(is_poll) {
            polled_after_ms = Some(after_ms);
            break;
        }
    }
    assert!(polled_after_ms.is_some_and(|ms| ms <= 150), "polled after {polled_after_ms:?} ms");
    fixture
        .leader
        .handle(poll_answered(fixture.now_ms, vec![end(1, first), end(2, second)]), fixture.now());
    let job = fixture.leader.explain(JobKey(1), fixture.now()).expect("the job is known");
    assert_eq!(job.outcome, "completed");
}
