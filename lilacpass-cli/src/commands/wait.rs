//! `wait`: follows a job to its end, through whichever entry instance answers.

use std::time::Duration;

use lilacpass_schema::v1;
use serde_json::Value;
use tokio::time::{self, Instant};

use crate::{
    api::path,
    args::WaitArgs,
    commands::{Tool, jobs},
    error::{Error, Result},
    exit::Exit,
    report::{self, Report},
    units,
};

/// Longest time that a server holds one call for news.
const LONGEST_CALL: Duration = Duration::from_secs(10);
/// Time that the answer may take beyond that, before the server counts as lost.
const ANSWER_MARGIN: Duration = Duration::from_secs(5);
/// Time after which progress is shown although nothing has changed.
const SIGN_OF_LIFE: Duration = Duration::from_secs(60);
/// Pause after all servers failed.
const PAUSE: Duration = Duration::from_secs(1);

/// Waits until the job has ended, or the limit of `args` is reached.
pub async fn run(tool: &mut Tool, args: &WaitArgs) -> Result<Report> {
    let started = Instant::now();
    let patience = tool.client.timeout();
    let mut watch =
        Watch { args, last_seen: started, known: false, shown: String::new(), shown_at: started };
    loop {
        let left = time_left(args.limit, started.elapsed());
        let asked = Instant::now();
        // The first look holds no call, so that a person sees at once how things stand.
        let hold = if watch.known { left } else { Duration::ZERO };
        match ask(tool, args, hold).await {
            Ok((job, answer)) => {
                watch.seen(&job, started.elapsed());
                if jobs::has_ended(&job) || left.is_zero() {
                    return Ok(ended(&job, answer));
                }
                // A server that answers at once, instead of holding the call, is not asked in a loop.
                if !hold.is_zero() && asked.elapsed() < PAUSE {
                    time::sleep(PAUSE.min(left)).await;
                }
            }
            Err(err) => {
                let out_of_sight = watch.last_seen.elapsed();
                if !watch.may_pass(&err) || out_of_sight >= patience || left.is_zero() {
                    return Err(err);
                }
                watch.lost(&err);
                time::sleep(PAUSE.min(left)).await;
            }
        }
    }
}

/// What is known of the job so far.
struct Watch<'a> {
    args: &'a WaitArgs,
    last_seen: Instant,
    /// Whether any server has shown the job.
    known: bool,
    /// The last line of progress, and when it was shown.
    shown: String,
    shown_at: Instant,
}

impl Watch<'_> {
    /// Takes note of the job, and shows a line of progress where its state has changed.
    fn seen(&mut self, job: &v1::JobView, waited: Duration) {
        self.last_seen = Instant::now();
        self.known = true;
        let reason =
            if job.reason.is_empty() { String::new() } else { format!(": {}", job.reason) };
        let line = format!("{}{reason}", job.state);
        let is_news = line != self.shown || self.shown_at.elapsed() >= SIGN_OF_LIFE;
        if !is_news || self.args.quiet || jobs::has_ended(job) {
            return;
        }
        eprintln!("lilacpass: after {}: {line}", units::show_ms(units::ms(waited)));
        self.shown = line;
        self.shown_at = Instant::now();
    }

    /// Shows that no server answers.
    fn lost(&self, err: &Error) {
        if !self.args.quiet {
            eprintln!("lilacpass: {err}; still trying");
        }
    }

    /// Whether an error may pass by itself.
    ///
    /// A job that was seen and is now unknown is one: the next server may not have read the log as
    /// far as the one that was lost.
    fn may_pass(&self, err: &Error) -> bool {
        const NOT_FOUND: u32 = 404;
        const TOO_MANY_REQUESTS: u32 = 429;
        const FIRST_SERVER_ERROR: u32 = 500;
        match err {
            Error::Unreachable(_) | Error::NoAnswer(_) => true,
            Error::Problem(problem) => match problem.status {
                NOT_FOUND => self.known,
                status => status == TOO_MANY_REQUESTS || status >= FIRST_SERVER_ERROR,
            },
            _ => false,
        }
    }
}

/// Asks for the job once, holding the call for news as long as `hold`.
async fn ask(tool: &mut Tool, args: &WaitArgs, hold: Duration) -> Result<(v1::JobView, Value)> {
    let hold = LONGEST_CALL.min(hold);
    let path = path::wait(args.job, units::ms(hold));
    let answer = tool.client.get_within(&path, hold + ANSWER_MARGIN).await?;
    Ok((report::decode(&answer)?, answer))
}

/// Time until the limit; without one, always as long as a call takes.
fn time_left(limit: Option<Duration>, waited: Duration) -> Duration {
    limit.map_or(LONGEST_CALL, |limit| limit.saturating_sub(waited))
}

fn ended(job: &v1::JobView, answer: Value) -> Report {
    Report { exit: Exit::of_job(job), ..Report::ok(jobs::describe(job), answer) }
}
