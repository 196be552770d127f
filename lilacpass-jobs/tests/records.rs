//! Fuzz of the records of jobs: what was written comes back as it was, and what others have written does no harm.

use std::sync::Arc;

use lilacpass_jobs::{
    EndReason, Job, JobKey, Outcome, RunEnd, Suspicion, TaskName, WorkerName, plan, record,
};
use lilacpass_schema::v1;
use prost::Message;

/// Jobs in a plain run.
const SEEDS: u64 = 1_000;
/// Most bytes of one record of the store, as the platform tells.
const RECORD_BYTES: usize = 262_144;
const KEY: JobKey = JobKey(0x5c0e_7a21_d94b_36f8);

/// What happens to a task of a job: which, what, how much.
type Event = (u16, u8, u8);
/// A change to a record: what, where, which byte.
type Damage = (u8, u16, u8);

/// A job with steps of the given sizes to which events have happened.
fn job(sizes: &[u8], repeats: u8, events: &[Event]) -> Job {
    let steps = sizes.iter().enumerate().map(|(number, &size)| v1::WorkStep {
        count: 1 + u32::from(size % 5),
        gang: size % 3 == 0,
        lasting: size % 7 == 0,
        after: (0..number as u32)
            .filter(|earlier| (u32::from(size) >> (earlier % 8)) & 1 == 1)
            .collect(),
        ..Default::default()
    });
    let plan = v1::WorkPlan {
        payload: "do".to_owned(),
        steps: steps.take(6).collect(),
        repeat_count: u32::from(repeats % 4),
        first_run_ms: 5,
        interval_ms: 7,
    };
    let queue = v1::QueuePolicy { name: "q".to_owned(), attempts: 3, ..Default::default() };
    let record = v1::PlanRecord { plan: Some(plan), queue: Some(queue), accepted_ms: 3 };
    let mut job = Job::new(KEY, record);
    let names: Vec<TaskName> =
        job.step_names().flat_map(|step| job.task_names(step).collect::<Vec<_>>()).collect();
    for &(which, what, much) in events {
        let name = names[usize::from(which) % names.len()];
        happen(&mut job, name, what, much);
    }
    job
}

fn happen(job: &mut Job, name: TaskName, what: u8, much: u8) {
    let worker = WorkerName::from(format!("i-{much}").as_str());
    match what % 8 {
        0..=2 => drop(job.assign_run(name, worker, Arc::from("a"))),
        3 => job.update_checkpoint(name, &format!("c{much}")),
        4..=6 => {
            let run = job.task(name).and_then(|task| task.runs.first().cloned());
            let how = ["done", "failed", "stopped", "lapsed"][usize::from(much % 4)];
            if let Some(run) = run {
                let how = how.parse().expect("a way to end");
                let end = RunEnd { run: run.number, reason: how, checkpoint: String::new() };
                let _change = job.end_run(name, &run.worker, &end, 11);
            }
        }
        _ if much < 16 => drop(job.cancel(13)),
        _ => {}
    }
}

fn damaged(sound: &[u8], damages: &[Damage]) -> Vec<u8> {
    let mut bytes = sound.to_vec();
    for &(what, place, byte) in damages {
        let at = usize::from(place) % (bytes.len() + 1);
        match what % 4 {
            0 if what < 16 => bytes.truncate(at),
            1 => bytes.insert(at, byte),
            2 if at < bytes.len() => drop(bytes.remove(at)),
            _ if at < bytes.len() => bytes[at] = byte,
            _ => {}
        }
    }
    bytes
}

#[test]
fn a_job_comes_back_from_its_records_as_it_was() {
    lilacpass_fuzz::check::<(Vec<u8>, u8, Vec<Event>)>(
        SEEDS,
        1 << 9,
        |(sizes, repeats, events)| {
            let sizes = if sizes.is_empty() { &[1][..] } else { sizes };
            let job = job(sizes, *repeats, events);
            let (plan, state) = (record::encode_plan(&job), record::encode_state(&job));
            assert_eq!(record::decode(KEY, &plan, Some(&state)).expect("a job"), job);
        },
    );
}

/// Nothing is stored any more: the tasks of a job save so much of their progress that the record of its state is larger
/// than the store takes, and the append that holds it is sent again and again.
#[test]
fn a_state_with_much_saved_progress_fits_a_record() {
    let step = v1::WorkStep { count: 40, checkpointing: true, ..Default::default() };
    let plan = v1::WorkPlan { steps: vec![step], ..Default::default() };
    let mut job = Job::new(KEY, v1::PlanRecord { plan: Some(plan), ..Default::default() });
    let names: Vec<TaskName> = job.step_names().flat_map(|step| job.task_names(step)).collect();
    for name in &names {
        job.assign_run(*name, WorkerName::from("i-1"), Arc::from("a"));
        let bytes = if name.index < 10 { 16 } else { 10_000 };
        job.update_checkpoint(*name, &"c".repeat(bytes));
    }
    let (plan, state) = (record::encode_plan(&job), record::encode_state(&job));
    assert!(state.len() <= RECORD_BYTES, "{} bytes", state.len());
    let read = record::decode(KEY, &plan, Some(&state)).expect("a job");
    assert_eq!(read.live_runs(), job.live_runs());
    // What is short is kept; a task whose progress is not starts anew under the next leader.
    assert_eq!(read.checkpoint(names[0]), job.checkpoint(names[0]));
}

/// Guards against a record that the store refuses for ever because workers have crashed under each of many tasks.
#[test]
fn a_state_with_many_crashes_fits_a_record() {
    let step = v1::WorkStep { count: 4_000, ..Default::default() };
    let plan = v1::WorkPlan { steps: vec![step], ..Default::default() };
    let mut job = Job::new(KEY, v1::PlanRecord { plan: Some(plan), ..Default::default() });
    let names: Vec<TaskName> = job.step_names().flat_map(|step| job.task_names(step)).collect();
    let worker = WorkerName::from("i-0123456789");
    for name in &names {
        for _ in 0..2 {
            let run = job.assign_run(*name, worker.clone(), Arc::from("hal-a")).expect("a run");
            let how = EndReason::Crashed(Suspicion::Suspect);
            job.end_run(*name, &worker, &RunEnd { run, reason: how, checkpoint: String::new() }, 9);
        }
        job.assign_run(*name, worker.clone(), Arc::from("hal-a"));
    }
    let (plan, state) = (record::encode_plan(&job), record::encode_state(&job));
    assert!(state.len() <= RECORD_BYTES, "{} bytes", state.len());
    let read = record::decode(KEY, &plan, Some(&state)).expect("a job");
    assert!(names.iter().all(|name| read.is_suspected(*name)));
    assert!(names.iter().all(|name| read.crashed_workers(*name).is_empty()), "no name for all");
    assert_eq!(read.live_runs(), job.live_runs());
}

/// A job is shown as waiting for ever and can't be carried out: its record names no plan.
#[test]
fn a_record_without_a_plan_is_refused() {
    let record = v1::PlanRecord { plan: None, ..Default::default() }.encode_to_vec();
    let err = record::decode(KEY, &record, None).expect_err("refused");
    assert!(err.to_string().contains("plan"), "{err}");
}

/// Records that are damaged are refused, or read as a job that is within all bounds, can be asked for everything
/// and comes back from its own records as it was read.
#[test]
fn damaged_records_are_refused_or_read_as_a_whole_job() {
    type Input = (Vec<u8>, Vec<Event>, Vec<Damage>, Vec<Damage>);
    lilacpass_fuzz::check::<Input>(SEEDS, 1 << 9, |(sizes, events, of_plan, of_state)| {
        let sizes = if sizes.is_empty() { &[1][..] } else { sizes };
        let sound = job(sizes, 2, events);
        let plan = damaged(&record::encode_plan(&sound), of_plan);
        let state = damaged(&record::encode_state(&sound), of_state);
        let Ok(read) = record::decode(KEY, &plan, Some(&state)) else { return };
        assert!(read.tasks().count() as u64 <= plan::MAX_TASKS);
        assert!(read.outcome != Outcome::Open || read.tasks().count() > 0, "a job without tasks");
        for step in read.step_names() {
            let _may_start = read.step_may_start(step, u64::MAX);
        }
        let (plan, state) = (record::encode_plan(&read), record::encode_state(&read));
        assert_eq!(record::decode(KEY, &plan, Some(&state)).expect("a job"), read);
    });
}

#[test]
fn names_come_back_from_their_text_as_they_were() {
    lilacpass_fuzz::check::<(u64, [u32; 3])>(SEEDS, 1 << 6, |(job, [occurrence, step, index])| {
        let step =
            lilacpass_jobs::StepName { job: JobKey(*job), occurrence: *occurrence, step: *step };
        let name = step.task(*index);
        assert_eq!(name.to_string().parse::<TaskName>(), Ok(name));
    });
}

/// A run of a worker is taken for another's: a name that is written otherwise, `+1` or `01` for `1`, is read as the
/// same task.
#[test]
fn what_is_read_as_a_name_is_written_as_it_was() {
    const PIECES: [&str; 12] = [
        "5c0e7a21d94b36f8",
        ".",
        ".0",
        ".1",
        ".+1",
        ".01",
        ".-1",
        ".4294967296",
        "a",
        "é",
        " ",
        "",
    ];
    lilacpass_fuzz::check::<Vec<u8>>(20 * SEEDS, 1 << 4, |pieces| {
        let rest = pieces.iter().map(|&piece| PIECES[usize::from(piece) % PIECES.len()]);
        let text: String = rest.collect();
        for text in [format!("{}{text}", PIECES[0]), text] {
            if let Ok(name) = text.parse::<TaskName>() {
                assert_eq!(name.to_string(), text);
            }
            if let Ok(key) = text.parse::<JobKey>() {
                assert_eq!(key.to_string(), text);
            }
            let _key = record::parse_key(&text);
        }
    });
}
