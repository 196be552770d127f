//! Failures of members, workers and the log, played to whole members with small fakes.

mod fakes;

use std::time::Duration;

use fakes::{Cell, cell::Fault, inventory, log::Mode};
use lilacpass_control::event::{Answer, Request, Stream};
use lilacpass_core::ids::JobId;
use lilacpass_schema::v1;

const SECOND: Duration = Duration::from_secs(1);

/// One data centre, three members, two racks of two workers.
fn one_data_centre() -> Cell {
    let mut cell = Cell::new(&["a"], 3, 2, 2);
    cell.run_for(3 * SECOND);
    cell
}

fn crawl(payload: &str) -> v1::JobSpec {
    v1::JobSpec { kind: "crawl".to_owned(), ..inventory::spec(payload) }
}

/// Submits a job through `member` and waits until it runs.
fn running_job(cell: &mut Cell, member: usize, spec: v1::JobSpec, key: &str) -> JobId {
    let payload = spec.payload.clone();
    let (_, id) = cell.submit(member, spec, key);
    cell.run_until(5 * SECOND, |cell| !cell.runs_of(&payload).is_empty());
    id
}

/// The members that hold workers, found by who has sent the running tasks' reports.
fn holder_of(cell: &mut Cell, worker: &str) -> usize {
    let reply = cell.ask(0, Request::Workers);
    let Some((Answer::Workers(list), _)) = cell.answers.get(&reply) else { panic!("no list") };
    let view = list.workers.iter().find(|view| view.name == worker).expect("worker is listed");
    view.holder.rsplit('-').next().unwrap().parse().unwrap()
}

/// A user sees a crawl audit finish although the entry instance that started it died.
/// The holder is killed while the task runs; another member claims the worker after the lease,
/// finds the task in the worker's report and goes on with it. Nothing is started again.
#[test]
fn a_running_task_outlives_the_holder_of_its_worker() {
    let mut cell = one_data_centre();
    let id = running_job(&mut cell, 0, crawl("9000 crawl"), "k");
    let worker = cell.runs_of("9000 crawl")[0].worker.clone();
    let holder = holder_of(&mut cell, &worker);
    cell.fault(holder, Fault::Killed);
    cell.run_for(12 * SECOND);
    let other = (holder + 1) % 3;
    assert_eq!(cell.job(other, id).unwrap().state, "succeeded");
    assert_eq!(cell.runs_of("9000 crawl").len(), 1);
    assert_eq!(cell.over_capacity(), 0);
}

/// A caller sees quick requests answered again within 5 s after an entry instance died.
/// The holder of some workers is killed. The others claim them once its lease has certainly
/// lapsed, and ask the workers what still runs before they start anything.
#[test]
fn the_workers_of_a_killed_holder_serve_again_within_five_seconds() {
    let mut cell = one_data_centre();
    let worker = "a-r0-w0".to_owned();
    let holder = holder_of(&mut cell, &worker);
    cell.fault(holder, Fault::Killed);
    let other = (holder + 1) % 3;
    let from = cell.now;
    let is_served = |cell: &Cell, name: &str| {
        cell.workers[name].last_start.is_some_and(|at| at > from + Duration::from_millis(500))
    };
    let mut tick = 0;
    while !is_served(&cell, "a-r0-w0") || !is_served(&cell, "a-r0-w1") {
        assert!(cell.now.since(from) < 5 * SECOND, "not served again within 5 s");
        cell.quick(other, inventory::spec(&format!("30 q{tick}")), SECOND);
        cell.run_for(Duration::from_millis(5));
        tick += 1;
    }
    assert_eq!(cell.over_capacity(), 0);
}

/// A broker sees no doubled alert although the holder of the watcher's worker stood still for
/// longer than its lease and then went on as if nothing had happened.
/// Another member has taken the worker over meanwhile. The old holder must notice by itself.
#[test]
fn a_paused_holder_starts_nothing_on_workers_that_it_lost() {
    let mut cell = one_data_centre();
    let id = running_job(&mut cell, 0, crawl("20000 sweep"), "k");
    let worker = cell.runs_of("20000 sweep")[0].worker.clone();
    let holder = holder_of(&mut cell, &worker);
    cell.fault(holder, Fault::Paused);
    cell.run_for(8 * SECOND);
    let other = (holder + 1) % 3;
    for n in 0..40 {
        cell.quick(other, inventory::spec(&format!("3000 x{n}")), 4 * SECOND);
    }
    cell.run_for(Duration::from_millis(200));
    cell.fault(holder, Fault::None);
    for n in 0..40 {
        cell.quick(holder, inventory::spec(&format!("3000 y{n}")), 4 * SECOND);
    }
    cell.run_for(20 * SECOND);
    assert_eq!(cell.job(other, id).unwrap().state, "succeeded");
    assert_eq!(cell.runs_of("20000 sweep").len(), 1);
    assert_eq!(cell.over_capacity(), 0);
}

/// An operator sees a watcher that reports again within seconds of its worker's death, and never
/// two of them. The worker dies, its reports fail, its task leases lapse, and the watcher starts
/// elsewhere.
#[test]
fn a_watcher_is_restarted_once_after_its_worker_dies() {
    let mut cell = one_data_centre();
    let spec = v1::JobSpec { standing: true, ..inventory::spec("stays watcher") };
    running_job(&mut cell, 0, spec, "w");
    let worker = cell.runs_of("stays watcher")[0].worker.clone();
    let now = cell.now;
    cell.workers.get_mut(&worker).unwrap().die(now);
    let took = cell.run_until(20 * SECOND, |cell| cell.runs_of("stays watcher").len() == 2);
    assert!(took < 13 * SECOND, "task lease of 10 s; restarted after {took:?}");
    cell.run_for(10 * SECOND);
    assert_eq!(cell.runs_of("stays watcher").len(), 2);
    assert_eq!(cell.doubled("stays watcher"), 0);
}

/// A broker sees one alert stream although the worker of the watcher fell silent and still ran it
/// for a while. The watcher starts elsewhere only after the lease on the silent worker has lapsed.
#[test]
fn a_watcher_on_a_silent_worker_starts_elsewhere_only_after_its_lease() {
    let mut cell = one_data_centre();
    let spec = v1::JobSpec { standing: true, ..inventory::spec("stays watcher") };
    running_job(&mut cell, 0, spec, "w");
    let worker = cell.runs_of("stays watcher")[0].worker.clone();
    cell.workers.get_mut(&worker).unwrap().silent = true;
    cell.run_until(20 * SECOND, |cell| cell.runs_of("stays watcher").len() == 2);
    cell.run_for(SECOND);
    assert_eq!(cell.doubled("stays watcher"), 0);
}

/// A shopkeeper whose crawl was on a worker that died is told that it may have run; it is not run
/// a second time, since nothing proves how far the first run came.
#[test]
fn a_non_idempotent_job_on_a_dead_worker_ends_as_may_have_run() {
    let mut cell = one_data_centre();
    let id = running_job(&mut cell, 0, crawl("60000 crawl"), "k");
    let worker = cell.runs_of("60000 crawl")[0].worker.clone();
    let now = cell.now;
    cell.workers.get_mut(&worker).unwrap().die(now);
    cell.run_for(15 * SECOND);
    assert_eq!(cell.job(0, id).unwrap().verdict, "may_have_run");
    assert_eq!(cell.runs_of("60000 crawl").len(), 1);
}

/// A shopkeeper sees one report although the answer to the start of the crawl was lost.
/// The start took effect; its call timed out. The worker's report settles it.
#[test]
fn a_start_whose_answer_is_lost_runs_once() {
    let mut cell = one_data_centre();
    for worker in cell.workers.values_mut() {
        worker.loses_answers = true;
    }
    let (_, id) = cell.submit(0, crawl("1500 crawl"), "k");
    cell.run_for(10 * SECOND);
    assert_eq!(cell.job(1, id).unwrap().state, "succeeded");
    assert_eq!(cell.runs_of("1500 crawl").len(), 1);
}

/// A caller who repeats a request with the same key through another entry instance gets the same
/// job although the log lost the answers to all appends.
#[test]
fn lost_answers_of_the_log_double_nothing() {
    let mut cell = one_data_centre();
    cell.log.mode = Mode::LosesAnswers;
    let (first, id) = cell.submit(0, crawl("500 crawl"), "k");
    let (second, same) = cell.submit(1, crawl("500 crawl"), "k");
    assert_eq!(id, same);
    cell.run_for(10 * SECOND);
    assert!(matches!(cell.answers[&first].0, Answer::Job(_)), "{:?}", cell.answers[&first]);
    assert!(matches!(cell.answers[&second].0, Answer::Job(_)), "{:?}", cell.answers[&second]);
    assert_eq!(cell.job(2, id).unwrap().state, "succeeded");
    assert_eq!(cell.runs_of("500 crawl").len(), 1);
}

/// Desk staff get their lookups answered while the log is away for a long time; an audit that must
/// not run twice is refused at once as not run, and what was accepted before goes on.
#[test]
fn quick_work_goes_on_without_the_log_and_recorded_work_is_refused_as_not_run() {
    let mut cell = one_data_centre();
    let accepted = running_job(&mut cell, 0, crawl("30000 sweep"), "k");
    cell.log.mode = Mode::Down;
    cell.run_for(20 * SECOND);
    for member in 0..3 {
        let payload = format!("20 lookup-{member}");
        let reply = cell.quick(member, inventory::spec(&payload), 2 * SECOND);
        cell.run_for(Duration::from_millis(500));
        assert!(matches!(cell.answers[&reply].0, Answer::Quick(_)), "{:?}", cell.answers[&reply]);
        let (refused, _) = cell.submit(member, crawl("20 late"), &format!("late-{member}"));
        cell.run_for(Duration::from_millis(5));
        let Answer::Problem(problem) = &cell.answers[&refused].0 else { panic!("accepted") };
        assert_eq!(problem.verdict, "not_run");
        assert!(problem.retry_after_ms > 0);
    }
    cell.run_for(15 * SECOND);
    cell.log.mode = Mode::Up;
    cell.run_for(8 * SECOND);
    assert_eq!(cell.job(1, accepted).unwrap().state, "succeeded");
    assert_eq!(cell.runs_of("30000 sweep").len(), 1);
    assert_eq!(cell.runs_of("20 late").len(), 0);
    assert_eq!(cell.over_capacity(), 0);
}

/// With the log away and all members well, callers see the full capacity of the workers and not
/// half of it: the members grant each other that they append no claim.
#[test]
fn the_whole_capacity_is_served_while_the_log_is_away() {
    let mut cell = one_data_centre();
    cell.log.mode = Mode::Down;
    cell.run_for(10 * SECOND);
    for n in 0..32 {
        cell.quick(n % 3, inventory::spec(&format!("2000 full-{n}")), 3 * SECOND);
        cell.run_for(Duration::from_millis(20));
    }
    cell.run_for(SECOND);
    let running = cell.runs().iter().filter(|run| run.payload.starts_with("2000 full")).count();
    assert_eq!(running, 32, "4 workers of 8 slots");
    assert_eq!(cell.over_capacity(), 0);
}

/// An operator sees a change in force everywhere, also at a member that is cut from the log: it
/// learns it from its peers. No member ever goes back to an earlier revision.
#[test]
fn a_member_cut_from_the_log_learns_changes_from_its_peers() {
    let mut cell = one_data_centre();
    cell.cut_from_log(2, true);
    cell.run_for(SECOND);
    let rules = v1::Rules { max_attempts: 7, ..v1::Rules::default() };
    cell.change(0, 1, vec![v1::ConfigOp { op: Some(v1::config_op::Op::SetRules(rules)) }]);
    let took = cell.run_until(5 * SECOND, |cell| {
        cell.in_force.values().all(|revisions| revisions.last() == Some(&2))
    });
    assert!(took <= 2 * SECOND, "in force everywhere after {took:?}");
    for revisions in cell.in_force.values() {
        assert!(revisions.is_sorted(), "{revisions:?}");
    }
}

/// Two operators change the configuration at the same moment through different members. One wins
/// everywhere; the other is told what won.
#[test]
fn of_two_racing_operators_one_wins_and_the_other_sees_the_winner() {
    let mut cell = one_data_centre();
    let set = |n| {
        let rules = v1::Rules { max_attempts: n, ..v1::Rules::default() };
        vec![v1::ConfigOp { op: Some(v1::config_op::Op::SetRules(rules)) }]
    };
    let first = cell.change(0, 1, set(3));
    let second = cell.change(1, 1, set(4));
    cell.run_for(SECOND);
    let answers = [&cell.answers[&first].0, &cell.answers[&second].0];
    let won = answers.iter().filter(|answer| matches!(answer, Answer::Change(_))).count();
    assert_eq!(won, 1, "{answers:?}");
    let Some(Answer::Problem(problem)) = answers.iter().find(|a| matches!(a, Answer::Problem(_)))
    else {
        panic!("{answers:?}")
    };
    assert_eq!(problem.verdict, "not_run");
    assert_eq!(problem.winner.as_ref().unwrap().revision, 2);
}

/// Callers notice nothing of a planned stop: requests in flight are answered, long work goes on at
/// the next holder, and the stopped member is gone within seconds.
#[test]
fn a_planned_stop_cuts_nothing_off() {
    let mut cell = one_data_centre();
    let id = running_job(&mut cell, 0, crawl("6000 crawl"), "k");
    let mut replies = Vec::new();
    for n in 0..12 {
        replies.push(cell.quick(n % 3, inventory::spec(&format!("800 q{n}")), 3 * SECOND));
    }
    cell.run_for(Duration::from_millis(50));
    cell.stop(1);
    cell.run_until(6 * SECOND, |cell| !cell.stopped.is_empty());
    for reply in replies {
        assert!(
            matches!(cell.answers[&reply].0, Answer::Quick(_)),
            "{:?}",
            cell.answers.get(&reply)
        );
    }
    cell.run_for(8 * SECOND);
    assert_eq!(cell.job(0, id).unwrap().state, "succeeded");
    assert_eq!(cell.runs_of("6000 crawl").len(), 1);
    assert_eq!(cell.over_capacity(), 0);
}

/// A new instance takes the place of a killed one under the same name. It does not speak for its
/// predecessor, and serves after a few seconds.
#[test]
fn a_replaced_instance_joins_and_nothing_is_doubled() {
    let mut cell = one_data_centre();
    let id = running_job(&mut cell, 0, crawl("9000 crawl"), "k");
    cell.fault(1, Fault::Killed);
    cell.run_for(SECOND);
    let new = cell.replace(1, "a-1", 2);
    cell.run_for(12 * SECOND);
    assert_eq!(cell.job(new, id).unwrap().state, "succeeded");
    assert_eq!(cell.runs_of("9000 crawl").len(), 1);
    let reply = cell.quick(new, inventory::spec("10 q"), SECOND);
    cell.run_for(SECOND);
    assert!(matches!(cell.answers[&reply].0, Answer::Quick(_)));
    assert_eq!(cell.over_capacity(), 0);
}

/// A target that the platform lists as leaving, or an operator drains, gets nothing new after two
/// seconds, and its watcher moves.
#[test]
fn a_draining_worker_gets_nothing_new_and_its_watcher_moves() {
    let mut cell = one_data_centre();
    let spec = v1::JobSpec { standing: true, ..inventory::spec("stays watcher") };
    running_job(&mut cell, 0, spec, "w");
    let worker = cell.runs_of("stays watcher")[0].worker.clone();
    let drain = v1::DrainWorker { worker: worker.clone(), draining: true };
    cell.change(0, 1, vec![v1::ConfigOp { op: Some(v1::config_op::Op::DrainWorker(drain)) }]);
    cell.run_for(2 * SECOND);
    let from = cell.now;
    for n in 0..60 {
        cell.quick(n % 3, inventory::spec(&format!("40 q{n}")), SECOND);
        cell.run_for(Duration::from_millis(20));
    }
    assert!(cell.workers[&worker].last_start.is_none_or(|at| at < from));
    let runs = cell.runs_of("stays watcher");
    assert_eq!(runs.len(), 2);
    assert_ne!(runs[1].worker, worker);
    assert_eq!(cell.doubled("stays watcher"), 0);
}

/// A new instance serves although the log has dropped the records that it would have to begin
/// with. Members write snapshots in time; the new one restores the last whole one and reads on.
#[test]
fn a_new_instance_starts_from_snapshots_when_the_log_has_dropped_the_beginning() {
    let mut cell = one_data_centre();
    let (_, id) = cell.submit(0, crawl("100 first"), "first");
    let long = running_job(&mut cell, 0, crawl("400000 long"), "long");
    cell.log.retention = 400;
    for n in 0..300 {
        cell.submit(n % 3, inventory::spec(&format!("10 filler-{n}")), &format!("filler-{n}"));
        cell.run_for(Duration::from_millis(600));
    }
    for stream in [Stream::Jobs, Stream::Config, Stream::Holding] {
        let kept = cell.log.oldest(stream, "a");
        assert!(kept > 0 || stream == Stream::Config, "{stream:?} was never cut");
    }
    cell.fault(2, Fault::Killed);
    let new = cell.replace(2, "a-new", 2);
    cell.run_for(15 * SECOND);
    assert_eq!(cell.job(new, id).unwrap().result, "answer to 100 first");
    assert_eq!(cell.job(new, long).unwrap().state, "running");
    assert_eq!(cell.in_force["a-new"], vec![1]);
    let reply = cell.quick(new, inventory::spec("10 q"), SECOND);
    cell.run_for(SECOND);
    assert!(matches!(cell.answers[&reply].0, Answer::Quick(_)));
    assert_eq!(cell.over_capacity(), 0);
}

/// A shopkeeper's audit ends as may_have_run, a few milliseconds after it started.
/// The driver reads the attempt back and has it started by a holder that has not read that far.
/// The holder does not know the attempt, takes the task for an unwanted one and stops it.
#[test]
fn a_holder_that_reads_later_than_the_driver_does_not_stop_the_task() {
    let mut cell = one_data_centre();
    for member in 0..3 {
        cell.lag_reads(member, Duration::from_millis(40 * member as u64));
    }
    let jobs: Vec<JobId> = (0..12)
        .map(|n| cell.submit(n % 3, crawl(&format!("300 crawl-{n}")), &format!("k{n}")).1)
        .collect();
    cell.run_for(5 * SECOND);
    for id in jobs {
        assert_eq!(cell.job(0, id).unwrap().state, "succeeded");
    }
}

/// An operator is told that a change is not in force, and it is.
/// The entry instance that took the change reads its own record late. Another member has read it
/// already, and the first one learns the new configuration from there before it reads the record.
#[test]
fn a_change_that_was_learnt_from_a_peer_first_is_told_as_accepted() {
    let mut cell = one_data_centre();
    cell.lag_reads(0, 4 * SECOND);
    let rules = v1::Rules { max_attempts: 7, ..v1::Rules::default() };
    let op = v1::ConfigOp { op: Some(v1::config_op::Op::SetRules(rules)) };
    let reply = cell.change(0, 1, vec![op]);
    cell.run_for(6 * SECOND);
    let Answer::Change(answer) = &cell.answers[&reply].0 else {
        panic!("{:?}", cell.answers[&reply])
    };
    assert_eq!(answer.revision, 2);
}

/// Desk staff keep getting answers through an hour without the log, a watcher stays alive, and
/// when the log is back the members do not all write at once.
#[test]
fn an_hour_without_the_log_is_served_through() {
    let mut cell = one_data_centre();
    let spec = v1::JobSpec { standing: true, ..inventory::spec("stays watcher") };
    running_job(&mut cell, 0, spec, "w");
    cell.log.mode = Mode::Down;
    for minute in 0..60 {
        cell.run_for(59 * SECOND);
        let reply = cell.quick(minute % 3, inventory::spec("20 lookup"), SECOND);
        cell.run_for(SECOND);
        assert!(matches!(cell.answers[&reply].0, Answer::Quick(_)), "{:?}", cell.answers[&reply]);
    }
    let before = cell.log.appends;
    cell.log.mode = Mode::Up;
    cell.run_for(SECOND);
    let in_first_second = cell.log.appends - before;
    assert!(in_first_second <= 30, "{in_first_second} appends in the first second");
    cell.run_for(5 * SECOND);
    let runs = cell.runs_of("stays watcher");
    assert_eq!((runs.len(), runs[0].to), (1, None));
    assert_eq!(cell.over_capacity(), 0);
}

/// A shopkeeper is told that the crawl was not accepted, and hours later a report arrives.
/// The append of the acceptance gets no answer. A read that reaches the tail does not show it, so
/// it is queued again; the log refuses the next append, and the queued record counts as never
/// written. The first append takes effect after all.
#[test]
fn an_append_that_takes_effect_late_was_not_said_to_have_failed() {
    let mut cell = one_data_centre();
    cell.log.mode = Mode::Late;
    let (reply, id) = cell.submit(0, crawl("20 crawl"), "k");
    cell.run_for(Duration::from_millis(400));
    cell.log.mode = Mode::ReadOnly;
    cell.run_for(6 * SECOND);
    cell.log.mode = Mode::Up;
    cell.run_for(6 * SECOND);
    assert_eq!(cell.job(1, id).unwrap().state, "succeeded");
    if let Answer::Problem(problem) = &cell.answers[&reply].0 {
        assert_eq!(problem.verdict, "may_have_run");
    }
}

/// An operator takes a worker out of the inventory while a crawl runs there, and the crawl stays
/// "running" for ever. Such a change is refused; a drained and empty worker can be taken out.
#[test]
fn a_worker_with_running_tasks_is_not_taken_out_of_the_inventory() {
    let mut cell = one_data_centre();
    running_job(&mut cell, 0, crawl("3000 crawl"), "k");
    let worker = cell.runs_of("3000 crawl")[0].worker.clone();
    let remove = v1::ConfigOp { op: Some(v1::config_op::Op::RemoveWorker(worker)) };
    let refused = cell.change(0, 1, vec![remove.clone()]);
    cell.run_for(5 * SECOND);
    let accepted = cell.change(0, 1, vec![remove]);
    cell.run_for(SECOND);
    let Answer::Problem(problem) = &cell.answers[&refused].0 else { panic!("accepted") };
    assert!(problem.detail.contains("drain it first"), "{problem:?}");
    assert!(
        matches!(cell.answers[&accepted].0, Answer::Change(_)),
        "{:?}",
        cell.answers[&accepted]
    );
}

/// A planned stop hangs, and then is cut off: a worker of the instance has been silent since a
/// quick request was sent to it, and nothing ever tells how that ended.
/// Once the start can no longer arrive, the next holder learns from the worker what runs there.
#[test]
fn a_silent_worker_does_not_hold_up_a_planned_stop() {
    let mut cell = one_data_centre();
    for worker in cell.workers.values_mut() {
        worker.silent = true;
    }
    for n in 0..9 {
        cell.quick(n % 3, inventory::spec(&format!("300 q{n}")), SECOND);
    }
    cell.run_for(3 * SECOND);
    cell.stop(1);
    cell.run_until(20 * SECOND, |cell| !cell.stopped.is_empty());
}

/// A caller reads that its sweep was not run, although it ran for a while on a worker that fell
/// silent, and the job waits for its next attempt.
#[test]
fn a_job_that_waits_again_after_it_ran_may_have_run() {
    let mut cell = one_data_centre();
    let id = running_job(&mut cell, 0, inventory::spec("60000 sweep"), "k");
    for worker in cell.workers.values_mut() {
        worker.silent = true;
    }
    cell.run_for(20 * SECOND);
    let view = cell.job(1, id).unwrap();
    assert_eq!((view.state.as_str(), view.verdict.as_str()), ("waiting", "may_have_run"));
}

/// A caller asks a new instance for its job and reads that there is none. The instance has not
/// read the jobs yet; it says so instead.
#[test]
fn an_instance_that_has_not_read_all_jobs_does_not_deny_one() {
    let mut cell = one_data_centre();
    let (_, id) = cell.submit(0, crawl("20 crawl"), "k");
    cell.run_for(2 * SECOND);
    cell.fault(2, Fault::Killed);
    cell.log.mode = Mode::Down;
    let new = cell.replace(2, "a-new", 2);
    cell.run_for(2 * SECOND);
    let reply = cell.ask(new, Request::Job(id));
    cell.run_for(SECOND);
    let Answer::Problem(problem) = &cell.answers[&reply].0 else { panic!("an answer") };
    assert_eq!((problem.status, problem.verdict.as_str()), (503, "may_have_run"));
    assert!(problem.retry_after_ms > 0);
}

/// A lookup that was forwarded to an entry instance which dies without a word waits for its whole
/// deadline. The heartbeat that goes unanswered tells earlier, and the lookup is tried elsewhere.
#[test]
fn a_lookup_at_a_holder_that_dies_silently_is_answered_elsewhere() {
    let mut cell = Cell::new(&["a"], 3, 8, 1);
    cell.run_for(6 * SECOND);
    let replies: Vec<u64> =
        (0..44).map(|n| cell.quick(0, inventory::spec(&format!("40 q{n}")), 10 * SECOND)).collect();
    cell.fault(1, Fault::Paused);
    cell.run_for(Duration::from_millis(2_200));
    for reply in replies {
        let answer = cell.answers.get(&reply).map(|(answer, _)| answer);
        assert!(matches!(answer, Some(Answer::Quick(_))), "{answer:?}");
    }
}
