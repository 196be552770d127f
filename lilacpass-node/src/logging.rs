//! Log output, written to standard output by a separate thread.
//!
//! Logging never blocks: lines go into a bounded buffer, and lines that do not fit are dropped and counted. A reader
//! that stops reading the output therefore cannot stop the instance.

use std::{
    io::{self, Write},
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, SyncSender, TrySendError},
    },
    thread,
    time::Duration,
};

use env_logger::{Builder, Env, Target};

/// Capacity of the buffer in lines. At 300 bytes each it holds about 1 MB.
const BUFFERED_LINES: usize = 4_096;
/// How long lines are collected before they are written. Writing each line on its own would cost a wake-up of the
/// thread and a system call per line, and a busy leader logs thousands of lines a second.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);
/// How long the process waits for the last lines when it ends.
const FLUSH_WAIT: Duration = Duration::from_millis(200);

static DROPPED: AtomicU64 = AtomicU64::new(0);
static QUEUE: OnceLock<SyncSender<Line>> = OnceLock::new();

/// An entry of the buffer.
enum Line {
    /// A line to write.
    Text(Vec<u8>),
    /// A request to write all earlier lines at once, and to confirm that on the channel.
    Flush(SyncSender<()>),
}

/// Writer that puts each line into the buffer.
struct QueueWriter;

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let Some(queue) = QUEUE.get() else { return Ok(bytes.len()) };
        if let Err(TrySendError::Full(_)) = queue.try_send(Line::Text(bytes.to_vec())) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Initialises logging.
pub fn init() {
    let (sender, receiver) = mpsc::sync_channel(BUFFERED_LINES);
    if QUEUE.set(sender).is_err() {
        return;
    }
    thread::spawn(move || write_lines(&receiver));
    Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(QueueWriter)))
        .format_target(false)
        .format_timestamp_millis()
        .init();
}

/// Number of lines that were dropped so far because the buffer was full.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Waits up to [`FLUSH_WAIT`] until the buffered lines are written.
pub fn flush() {
    let Some(queue) = QUEUE.get() else { return };
    let (sender, receiver) = mpsc::sync_channel(1);
    if queue.try_send(Line::Flush(sender)).is_ok() {
        // A reader that does not read must not keep the process alive.
        let _timeout = receiver.recv_timeout(FLUSH_WAIT);
    }
}

fn write_lines(receiver: &mpsc::Receiver<Line>) {
    let mut batch = Batch::default();
    while let Ok(line) = receiver.recv() {
        let is_text = matches!(line, Line::Text(_));
        batch.push(line);
        if is_text {
            thread::sleep(BATCH_INTERVAL);
        }
        while let Ok(line) = receiver.try_recv() {
            batch.push(line);
        }
        batch.write();
    }
}

/// Lines that are written together.
#[derive(Default)]
struct Batch {
    text: Vec<u8>,
    lines: u64,
}

impl Batch {
    fn push(&mut self, line: Line) {
        match line {
            Line::Text(text) => {
                self.text.extend_from_slice(&text);
                self.lines += 1;
            }
            Line::Flush(done) => {
                self.write();
                // The waiting thread may have timed out.
                let _dropped = done.send(());
            }
        }
    }

    fn write(&mut self) {
        let mut output = io::stdout();
        let written = output.write_all(&self.text).and_then(|()| output.flush());
        if written.is_err() {
            DROPPED.fetch_add(self.lines, Ordering::Relaxed);
        }
        self.text.clear();
        self.lines = 0;
    }
}
