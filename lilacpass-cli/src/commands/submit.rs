//! `submit`: a job, or a quick request with its answer.

use std::path::Path;

use lilacpass_core::{Class, Verdict, ids::JobId};
use lilacpass_schema::v1;

use crate::{
    api::{
        client::{IDEMPOTENCY_KEY, Repeat},
        path,
    },
    args::{ClassArg, SubmitArgs, WaitArgs},
    commands::{Tool, files, jobs, wait},
    error::{Error, Result},
    exit::Exit,
    report::{self, Report},
    units,
};

/// Submits what `args` describe.
pub async fn run(tool: &mut Tool, args: &SubmitArgs) -> Result<Report> {
    let spec = job_spec(args)?;
    // A key is always sent, so that a call that is repeated names the same job.
    let key = args.key.clone().unwrap_or_else(random_key);
    if args.wait_answer {
        return quick(tool, args, &spec, key).await;
    }
    let headers = vec![(IDEMPOTENCY_KEY, key.clone())];
    let answer = tool
        .client
        .post(path::JOBS, headers, &spec, Repeat::Safe)
        .await
        .inspect_err(|err| advise_same_key(err, &key))?;
    let job: v1::JobView = report::decode(&answer)?;
    if args.follow {
        return follow(tool, &job).await;
    }
    let human = format!("job {} {}", job.job_id, job.state);
    Ok(Report { exit: accepted(&job), ..Report::ok(human, answer) })
}

/// Sends a quick request and prints its result.
async fn quick(
    tool: &mut Tool,
    args: &SubmitArgs,
    spec: &v1::JobSpec,
    key: String,
) -> Result<Report> {
    let headers = vec![(IDEMPOTENCY_KEY, key)];
    // Without an append to the log, servers don't know the key of a quick request of another one.
    let repeat = if spec.idempotent { Repeat::Safe } else { Repeat::OnlyNotRun };
    let client = &mut tool.client;
    let answer = match args.deadline {
        Some(deadline) => {
            client.post_within(path::REQUESTS, headers, spec, repeat, deadline).await?
        }
        None => client.post(path::REQUESTS, headers, spec, repeat).await?,
    };
    let quick: v1::QuickAnswer = report::decode(&answer)?;
    let exit = match quick.verdict.parse() {
        Ok(Verdict::Ran) => Exit::Ok,
        _ => Exit::of_verdict(&quick.verdict),
    };
    Ok(Report { exit, ..Report::ok(quick.result, answer) })
}

/// Waits for the end of a job that was just accepted.
async fn follow(tool: &mut Tool, job: &v1::JobView) -> Result<Report> {
    let id: JobId = job.job_id.parse().map_err(|err| Error::Unreadable(format!("{err}")))?;
    eprintln!("lilacpass: job {id}");
    wait::run(tool, &WaitArgs { job: id, limit: None, quiet: false }).await
}

/// The exit for a job that was accepted: success, unless the same key had named it before and it
/// has ended badly since.
fn accepted(job: &v1::JobView) -> Exit {
    if jobs::has_ended(job) { Exit::of_job(job) } else { Exit::Ok }
}

/// Tells how to find out about a submission that is in doubt.
fn advise_same_key(err: &Error, key: &str) {
    if err.exit() == Exit::MayHaveRun {
        eprintln!(
            "lilacpass: submit again with --key {key} to get the same job, never a second one"
        );
    }
}

fn job_spec(args: &SubmitArgs) -> Result<v1::JobSpec> {
    Ok(v1::JobSpec {
        team: args.team.clone(),
        account: args.account.clone(),
        service: args.service.clone(),
        kind: args.kind.clone(),
        class: class(args).to_string(),
        tasks: args.tasks,
        each: each(args),
        run_ms: args.run.map_or(0, units::ms),
        idempotent: args.idempotent,
        checkpointable: args.checkpointable,
        standing: args.standing,
        data_centre: args.data_centre.clone(),
        payload: payload(&args.payload)?,
    })
}

fn class(args: &SubmitArgs) -> Class {
    let default = match args {
        SubmitArgs { wait_answer: true, .. } => ClassArg::Urgent,
        SubmitArgs { standing: true, .. } => ClassArg::Standing,
        _ => ClassArg::Batch,
    };
    args.class.unwrap_or(default).into()
}

/// The declared size; none where nothing is declared, so that the service's default holds.
fn each(args: &SubmitArgs) -> Option<v1::Amount> {
    let SubmitArgs { cpu, memory, accelerators, slots, .. } = args;
    let declared = cpu.is_some() || memory.is_some() || accelerators.is_some() || slots.is_some();
    declared.then(|| v1::Amount {
        cpu_milli: cpu.map_or(0, |cpu| cpu.0),
        memory_mib: memory.map_or(0, |memory| memory.0),
        accelerators: accelerators.unwrap_or(0),
        slots: slots.unwrap_or(1),
    })
}

fn payload(text: &str) -> Result<String> {
    match text.strip_prefix('@') {
        Some(path) => files::read(Path::new(path)),
        None => Ok(text.to_owned()),
    }
}

fn random_key() -> String {
    format!("{:032x}", rand::random::<u128>())
}
