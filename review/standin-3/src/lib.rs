//! What the drivers of the cases share: a small cell on the project's stand-in, a record of what is seen, and the exit
//! codes.

use std::{
    env, fs, io,
    io::Write,
    net::TcpListener,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use bytes::Bytes;
use http::{Method, StatusCode};
use lilacpass_platform::client::{Call, Client};
use lilacpass_platform_standin::{cell::WorkerConnections, cluster::Cluster, load::HOST};
use rand::RngExt;
use tokio::{
    runtime,
    task::LocalSet,
    time::{self, Instant},
};

/// How a run of a case ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// The record of a run, which is printed and written to a file.
pub struct Record {
    file: fs::File,
    start: Instant,
}

impl Record {
    /// Creates the file of the record.
    fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { file: fs::File::create(path)?, start: Instant::now() })
    }

    /// Adds a line with the time since the start.
    pub fn line(&mut self, text: impl AsRef<str>) {
        let line = format!("{:7.3} s  {}", self.start.elapsed().as_secs_f64(), text.as_ref());
        println!("{line}");
        // A record that can't be written shows in the missing lines.
        let _written = writeln!(self.file, "{line}");
    }
}

/// A running cell of three instances and twelve workers.
pub struct Bench {
    /// The instances and the stand-in.
    pub cluster: Cluster,
    /// The record of the run.
    pub record: Record,
    /// Whether the disruption is to happen.
    pub has_trouble: bool,
    client: Client,
}

/// Arguments: path of the instance's program and path of the record. `TROUBLE=0` leaves out the disruption.
pub fn main(case: impl AsyncFn(&mut Bench) -> io::Result<Verdict>) -> ExitCode {
    match run(case) {
        Ok(Verdict::Held) => ExitCode::from(0),
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(err) => {
            eprintln!("the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}

fn run(case: impl AsyncFn(&mut Bench) -> io::Result<Verdict>) -> io::Result<Verdict> {
    let arguments: Vec<String> = env::args().collect();
    let [_, program, record] = arguments.as_slice() else {
        return Err(io::Error::other("usage: PROGRAM RECORD"));
    };
    let program = PathBuf::from(program).canonicalize()?;
    let first_port = free_ports()?;
    let mut record = Record::create(Path::new(record))?;
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    record.line(format!("three instances, twelve workers; disruption: {has_trouble}"));
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async move {
        let cluster = Cluster::start(&program, first_port, WorkerConnections::PerLife)?;
        let client = Client::default();
        let mut bench = Bench { cluster, record, has_trouble, client };
        let verdict = case(&mut bench).await;
        if let Ok(verdict) = verdict {
            bench.record.line(format!("verdict: {verdict:?}"));
        }
        // Stops the instances, and kills those that have not ended by then.
        bench.cluster.stop(true)?;
        verdict
    })
}

/// The first of some free loopback ports in a row.
fn free_ports() -> io::Result<u16> {
    const COUNT: u16 = 40;
    const ATTEMPTS: usize = 50;
    let is_free = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_ok();
    (0..ATTEMPTS)
        .map(|_| rand::rng().random_range(20_000..31_000))
        .find(|first| (*first..first + COUNT).all(is_free))
        .ok_or_else(|| io::Error::other("no free ports"))
}

impl Bench {
    /// Waits until all instances serve jobs, which takes some seconds.
    pub async fn wait_until_ready(&mut self) -> io::Result<()> {
        let end = Instant::now() + Duration::from_secs(20);
        let ready: Vec<String> =
            self.cluster.instances.iter().map(|instance| instance.ready_address.clone()).collect();
        for address in ready {
            while self.call(&address, Method::GET, "/v1/ready", Bytes::new()).await
                != Some(StatusCode::OK)
            {
                if Instant::now() >= end {
                    return Err(io::Error::other("the instances do not become ready"));
                }
                time::sleep(Duration::from_millis(100)).await;
            }
        }
        self.record.line("all instances are ready");
        Ok(())
    }

    /// Sends a call and returns the status of the response.
    pub async fn call(
        &self,
        address: &str,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Option<StatusCode> {
        let headers = [("Host", HOST), ("X-Deadline-Ms", "3000")];
        let timeout = Duration::from_secs(3);
        let call = Call { address, method, path, headers: &headers, body, timeout };
        Some(self.client.call(&call).await.ok()?.status)
    }
}
