//! `submit`: submits a job, or sends a quick request and prints its result.

use std::path::Path;

use lilacpass_core::{Class, Verdict, ids::JobId};
use lilacpass_schema::v1;

use crate::{
    api::{
        client::{IDEMPOTENCY_KEY, RetryPolicy},
        path,
    },
    args::{ClassArg, SubmitArgs, WaitArgs},
    commands::{Context, files, jobs, wait},
    error::{Error, Result},
    exit::Exit,
    report::{self, Report},
    units,
};

/// Submits the job or quick request that `args` describe.
pub async fn run(context: &mut Context, args: &SubmitArgs) -> Result<Report> {
    let spec = job_spec(args)?;
    // A key is always sent, so that repeating the request on another server refers to the same job.
    let key = args.key.clone().unwrap_or_else(random_key);
    if args.wait_answer {
        return send_quick_request(context, args, &spec, key).await;
    }
    let headers = vec![(IDEMPOTENCY_KEY, key.clone())];
    let response = context
        .client
        .post(path::JOBS, headers, &spec, RetryPolicy::Idempotent)
        .await
        .inspect_err(|err| suggest_same_key(err, &key))?;
    let job: v1::JobView = report::decode(&response)?;
    if args.follow {
        return follow(context, &job).await;
    }
    let human = format!("job {} {}", job.job_id, job.state);
    Ok(Report { exit: exit_for_accepted(&job), ..Report::ok(human, response) })
}

/// Sends a quick request and prints its result.
async fn send_quick_request(
    context: &mut Context,
    args: &SubmitArgs,
    spec: &v1::JobSpec,
    key: String,
) -> Result<Report> {
    let headers = vec![(IDEMPOTENCY_KEY, key)];
    // The key alone doesn't make it safe to repeat a quick request: a server knows the key of a request that another
    // server received only if that one has appended the request to the log.
    let retry_policy =
        if spec.idempotent { RetryPolicy::Idempotent } else { RetryPolicy::OnlyIfNotRun };
    let client = &mut context.client;
    let response = match args.deadline {
        Some(deadline) => {
            client.post_with_deadline(path::REQUESTS, headers, spec, retry_policy, deadline).await?
        }
        None => client.post(path::REQUESTS, headers, spec, retry_policy).await?,
    };
    let quick: v1::QuickAnswer = report::decode(&response)?;
    let exit = match quick.verdict.parse() {
        Ok(Verdict::Ran) => Exit::Ok,
        _ => Exit::from_verdict(&quick.verdict),
    };
    Ok(Report { exit, ..Report::ok(quick.result, response) })
}

/// Waits until a job that was just accepted has ended.
async fn follow(context: &mut Context, job: &v1::JobView) -> Result<Report> {
    let id: JobId = job.job_id.parse().map_err(|err| Error::InvalidResponse(format!("{err}")))?;
    eprintln!("lilacpass: job {id}");
    wait::run(context, &WaitArgs { job: id, limit: None, quiet: false }).await
}

/// Returns the exit code for an accepted job. This is success unless the key belongs to an earlier submission whose job
/// has already ended without success.
fn exit_for_accepted(job: &v1::JobView) -> Exit {
    if jobs::has_ended(job) { Exit::from_job(job) } else { Exit::Ok }
}

/// Prints how to resolve a submission whose outcome is unknown: submitting again with the same key gives the same job.
fn suggest_same_key(err: &Error, key: &str) {
    if err.exit() == Exit::MayHaveRun {
        eprintln!(
            "lilacpass: submit again with --key {key} to get the same job instead of a second one"
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
        each: task_size(args),
        run_ms: args.run.map_or(0, units::ms),
        idempotent: args.idempotent,
        checkpointable: args.checkpointable,
        standing: args.standing,
        data_centre: args.data_centre.clone(),
        payload: read_payload(&args.payload)?,
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

/// Returns the declared size of each task, or `None` if no size option is given, so that the default of the service
/// applies.
fn task_size(args: &SubmitArgs) -> Option<v1::Amount> {
    let SubmitArgs { cpu, memory, accelerators, slots, .. } = args;
    let declared = cpu.is_some() || memory.is_some() || accelerators.is_some() || slots.is_some();
    declared.then(|| v1::Amount {
        cpu_milli: cpu.map_or(0, |cpu| cpu.0),
        memory_mib: memory.map_or(0, |memory| memory.0),
        accelerators: accelerators.unwrap_or(0),
        slots: slots.unwrap_or(1),
    })
}

fn read_payload(text: &str) -> Result<String> {
    match text.strip_prefix('@') {
        Some(path) => files::read(Path::new(path)),
        None => Ok(text.to_owned()),
    }
}

fn random_key() -> String {
    format!("{:032x}", rand::random::<u128>())
}
