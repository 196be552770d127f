//! A child process that is ended by its id, also when the run fails.

use std::{path::Path, process::Stdio, time::Duration};

use rustix::process::{Pid, Signal};
use tokio::{
    io::{AsyncBufReadExt, BufReader, Lines},
    process::{Child, ChildStdout, Command},
    time,
};

use crate::error::{Error, Result};

/// How long a process may take until it has said what it listens on.
const START_LIMIT: Duration = Duration::from_secs(30);

/// A running child process; killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    pid: Pid,
    lines: Option<Lines<BufReader<ChildStdout>>>,
}

impl Process {
    /// Starts `program` with `args`; its standard error goes to the file `log`.
    pub fn spawn(
        name: &str,
        program: &Path,
        args: &[&str],
        envs: &[(&str, &str)],
        log: &Path,
    ) -> Result<Self> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
        let mut child = Command::new(program)
            .args(args)
            .envs(envs.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|err| start_error(name, format!("{}: {err}", program.display())))?;
        let pid = child
            .id()
            .and_then(|id| Pid::from_raw(id.cast_signed()))
            .ok_or_else(|| start_error(name, "it has no process id"))?;
        let lines = child.stdout.take().map(|stdout| BufReader::new(stdout).lines());
        Ok(Self { name: name.to_owned(), child, pid, lines })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.pid.as_raw_nonzero().get().cast_unsigned()
    }

    /// Processor time and memory that it uses.
    pub fn usage(&self) -> Result<Usage> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()))?;
        let statm = std::fs::read_to_string(format!("/proc/{}/statm", self.id()))?;
        read_usage(&stat, &statm)
            .ok_or_else(|| Error::Unexpected(self.name.clone(), "unreadable usage".to_owned()))
    }

    /// Reads lines of its output up to the first one for which `read` has a value.
    pub async fn expect<T>(&mut self, mut read: impl FnMut(&str) -> Option<T>) -> Result<T> {
        let name = self.name.clone();
        let lines =
            self.lines.as_mut().ok_or_else(|| start_error(&name, "its output is closed"))?;
        let find = async {
            while let Some(line) = lines.next_line().await? {
                if let Some(value) = read(&line) {
                    return Ok(value);
                }
            }
            Err(start_error(&name, "it ended; see its log"))
        };
        let late = || Error::TooLate(format!("the start of {name}"));
        time::timeout(START_LIMIT, find).await.unwrap_or_else(|_| Err(late()))
    }

    /// Reads the rest of its output and drops it, so that the process never waits for a reader.
    pub fn drain_output(&mut self) {
        if let Some(mut lines) = self.lines.take() {
            tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        rustix::process::kill_process(self.pid, signal)?;
        Ok(())
    }

    /// Ends it at once, as the failure of its machine would.
    pub async fn kill(mut self) -> Result<()> {
        self.signal(Signal::KILL)?;
        self.child.wait().await?;
        Ok(())
    }

    /// Asks it to stop and waits until it has.
    pub async fn stop(mut self, limit: Duration) -> Result<()> {
        self.signal(Signal::TERM)?;
        let late = |_| Error::TooLate(format!("the planned stop of {}", self.name));
        let status = time::timeout(limit, self.child.wait()).await.map_err(late)??;
        match status.success() {
            true => Ok(()),
            false => Err(Error::Ended(self.name.clone(), status)),
        }
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

/// What a process uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time since its start.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

/// Reads the fields `utime` and `stime` of `stat` and `resident` of `statm`, see proc(5).
fn read_usage(stat: &str, statm: &str) -> Option<Usage> {
    const TICK_MS: u64 = 10;
    const UTIME_AFTER_NAME: usize = 11;
    // The second field is the name in parentheses, which may hold blanks.
    let (_, after_name) = stat.rsplit_once(") ")?;
    let mut times = after_name.split_whitespace().skip(UTIME_AFTER_NAME);
    let mut ticks = || times.next()?.parse::<u64>().ok();
    let cpu_ms = (ticks()? + ticks()?) * TICK_MS;
    let resident_pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    let page_bytes = rustix::param::page_size() as u64;
    let resident_bytes = resident_pages * page_bytes;
    Some(Usage { cpu: Duration::from_millis(cpu_ms), resident_bytes })
}

fn start_error(name: &str, detail: impl Into<String>) -> Error {
    Error::Start(name.to_owned(), detail.into())
}
