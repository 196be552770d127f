//! `wait`: follows a job to its end, through whichever entry instance answers.

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

/// Longest time that a server holds one call for news.
const MAX_HOLD: Duration = Duration::from_secs(10);
/// Time that the answer may take beyond that, before the server counts as lost.
const RESPONSE_MARGIN: Duration = Duration::from_secs(5);
/// Time after which progress is shown although nothing has changed.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(60);
/// Pause after all servers failed.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Waits until the job has ended, or the limit of `args` is reached.
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
        // The first look holds no call, so that a person sees at once how things stand.
        let hold = if watch.found { remaining } else { Duration::ZERO };
        match fetch_job(context, args, hold).await {
            Ok((job, response)) => {
                watch.record_job(&job, started.elapsed());
                if jobs::has_ended(&job) || remaining.is_zero() {
                    return Ok(ended_report(&job, response));
                }
                // A server that answers at once, instead of holding the call, is not asked in a loop.
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

/// What is known of the job so far.
struct JobWatch<'a> {
    args: &'a WaitArgs,
    last_seen: Instant,
    /// Whether any server has shown the job.
    found: bool,
    /// The last line of progress, and when it was shown.
    last_line: String,
    last_line_at: Instant,
}

impl JobWatch<'_> {
    /// Takes note of the job, and shows a line of progress where its state has changed.
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

    /// Shows that no server answers.
    fn report_error(&self, err: &Error) {
        if !self.args.quiet {
            eprintln!("lilacpass: {err}; still trying");
        }
    }

    /// Whether an error may pass by itself.
    ///
    /// A job that was seen and is now unknown is one: the next server may not have read the log as
    /// far as the one that was lost.
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

/// Asks for the job once, holding the call for news as long as `hold`.
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

/// Time until the limit; without one, always as long as a call takes.
fn remaining_time(limit: Option<Duration>, elapsed: Duration) -> Duration {
    limit.map_or(MAX_HOLD, |limit| limit.saturating_sub(elapsed))
}

fn ended_report(job: &v1::JobView, response: Value) -> Report {
    Report { exit: Exit::from_job(job), ..Report::ok(jobs::describe(job), response) }
}
