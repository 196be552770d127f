//! `wait`: follows a job to its end, failing over between entry instances.

use std::time::Duration;

use lilacpass_schema::v1;
use serde_json::Value;
use tokio::time::{self, Instant};

use crate::{
    api::path,
    args::WaitArgs,
    commands::{Context, jobs},
    error::{Error, Result},
    exit::Exit,
    report::{self, Report},
    units,
};

/// Maximum time for which a server is asked to hold one request while the job has not ended.
const MAX_HOLD: Duration = Duration::from_secs(10);
/// Time that the response may take beyond that before the request times out.
const RESPONSE_MARGIN: Duration = Duration::from_secs(5);
/// Interval of progress messages while the state of the job and its reason do not change.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(60);
/// Pause after all servers failed, or after a server responded sooner than asked to.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Waits until the job has ended or the time limit given in `args` has passed.
///
/// Transient errors are retried until no server has returned the job for the timeout of one request.
pub async fn run(context: &mut Context, args: &WaitArgs) -> Result<Report> {
    let started = Instant::now();
    let max_outage = context.client.timeout();
    let mut watch = JobWatch {
        args,
        last_seen: started,
        found: false,
        last_line: String::new(),
        last_line_at: started,
    };
    loop {
        let remaining = remaining_time(args.limit, started.elapsed());
        let requested_at = Instant::now();
        // The server responds to the first request immediately, so that the user sees the current state at once.
        let hold = if watch.found { remaining } else { Duration::ZERO };
        match fetch_job(context, args, hold).await {
            Ok((job, response)) => {
                watch.record_job(&job, started.elapsed());
                if jobs::has_ended(&job) || remaining.is_zero() {
                    return Ok(ended_report(&job, response));
                }
                // A server that responds immediately instead of holding the request must not cause a busy loop.
                if !hold.is_zero() && requested_at.elapsed() < RETRY_DELAY {
                    time::sleep(RETRY_DELAY.min(remaining)).await;
                }
            }
            Err(err) => {
                let outage = watch.last_seen.elapsed();
                if !watch.is_transient(&err) || outage >= max_outage || remaining.is_zero() {
                    return Err(err);
                }
                watch.report_error(&err);
                time::sleep(RETRY_DELAY.min(remaining)).await;
            }
        }
    }
}

/// What the tool knows about the job, and the progress printed so far.
struct JobWatch<'a> {
    args: &'a WaitArgs,
    /// Time of the last response that contained the job, or of the start of the wait before the first one.
    last_seen: Instant,
    /// Whether any server has returned the job.
    found: bool,
    /// The last progress line printed.
    last_line: String,
    /// When `last_line` was printed.
    last_line_at: Instant,
}

impl JobWatch<'_> {
    /// Records that the job was returned. Prints a progress line if its state or reason has changed or the interval has
    /// passed, unless the job has ended or `--quiet` is set.
    fn record_job(&mut self, job: &v1::JobView, elapsed: Duration) {
        self.last_seen = Instant::now();
        self.found = true;
        let reason =
            if job.reason.is_empty() { String::new() } else { format!(": {}", job.reason) };
        let line = format!("{}{reason}", job.state);
        let is_due = line != self.last_line || self.last_line_at.elapsed() >= PROGRESS_INTERVAL;
        if !is_due || self.args.quiet || jobs::has_ended(job) {
            return;
        }
        eprintln!("lilacpass: after {}: {line}", units::format_ms(units::ms(elapsed)));
        self.last_line = line;
        self.last_line_at = Instant::now();
    }

    /// Prints a transient error, unless `--quiet` is set.
    fn report_error(&self, err: &Error) {
        if !self.args.quiet {
            eprintln!("lilacpass: {err}; retrying");
        }
    }

    /// Returns whether an error may resolve by itself.
    ///
    /// This includes "not found" for a job that was returned before: after a failover, the next server may not have
    /// read the log as far as the previous one.
    fn is_transient(&self, err: &Error) -> bool {
        const NOT_FOUND: u32 = 404;
        const TOO_MANY_REQUESTS: u32 = 429;
        const FIRST_SERVER_ERROR: u32 = 500;
        match err {
            Error::Unreachable(_) | Error::NoResponse(_) => true,
            Error::Problem(problem) => match problem.status {
                NOT_FOUND => self.found,
                status => status == TOO_MANY_REQUESTS || status >= FIRST_SERVER_ERROR,
            },
            _ => false,
        }
    }
}

/// Requests the job once; the server holds the request for up to `hold`, and at most [`MAX_HOLD`], until it has ended.
async fn fetch_job(
    context: &mut Context,
    args: &WaitArgs,
    hold: Duration,
) -> Result<(v1::JobView, Value)> {
    let hold = MAX_HOLD.min(hold);
    let path = path::wait(args.job, units::ms(hold));
    let response = context.client.get_with_timeout(&path, hold + RESPONSE_MARGIN).await?;
    Ok((report::decode(&response)?, response))
}

/// Returns the time remaining until `limit`, or [`MAX_HOLD`] if there is no limit.
fn remaining_time(limit: Option<Duration>, elapsed: Duration) -> Duration {
    limit.map_or(MAX_HOLD, |limit| limit.saturating_sub(elapsed))
}

fn ended_report(job: &v1::JobView, response: Value) -> Report {
    Report { exit: Exit::from_job(job), ..Report::ok(jobs::describe(job), response) }
}
