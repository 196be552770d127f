//! A TCP stream that checks the clock before it writes, counts bytes and can be aborted.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use lilacpass_core::MonoTime;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::{clock::Clock, link::gate::Gate};

/// Bytes that went over connections of one kind.
#[derive(Debug, Default)]
pub struct ByteCounts {
    /// Bytes sent.
    pub sent: AtomicU64,
    /// Bytes received.
    pub received: AtomicU64,
}

/// What the owner of a connection shares with its stream.
#[derive(Debug)]
pub struct StreamState {
    /// Checked before each write.
    pub gate: Arc<Gate>,
    /// Bytes of all connections of this kind.
    pub bytes: Arc<ByteCounts>,
    clock: Clock,
    aborted: AtomicBool,
    last_read_us: AtomicU64,
}

impl StreamState {
    /// State of a stream that is about to be opened.
    pub fn new(clock: Clock, bytes: Arc<ByteCounts>) -> Self {
        Self {
            gate: Arc::new(Gate::new(clock)),
            bytes,
            clock,
            aborted: AtomicBool::new(false),
            last_read_us: AtomicU64::new(0),
        }
    }

    /// Resets the connection. What the kernel still holds of it is thrown away instead of sent.
    pub fn abort(&self) {
        self.aborted.store(true, Ordering::Release);
        self.gate.wake();
    }

    /// Whether any byte arrived at or after `moment`.
    pub fn heard_since(&self, moment: MonoTime) -> bool {
        MonoTime(self.last_read_us.load(Ordering::Relaxed)) >= moment
    }

    fn is_aborted(&self) -> bool {
        self.aborted.load(Ordering::Acquire)
    }
}

/// The stream itself.
#[derive(Debug)]
pub struct GuardedStream {
    inner: TcpStream,
    state: Arc<StreamState>,
}

impl GuardedStream {
    /// Wraps a connected stream.
    pub fn new(inner: TcpStream, state: Arc<StreamState>) -> Self {
        Self { inner, state }
    }

    fn check_abort(&self, cx: &Context<'_>) -> io::Result<()> {
        self.state.gate.set_waker(cx.waker());
        // Looked at after the waker is in place, so that no abort in between is missed.
        if !self.state.is_aborted() {
            return Ok(());
        }
        Err(self.reset())
    }

    /// Has the kernel drop unsent bytes when the stream is closed.
    fn reset(&self) -> io::Error {
        if let Err(error) = SockRef::from(&self.inner).set_linger(Some(Duration::ZERO)) {
            log::debug!(error:% = error; "can't reset a connection");
        }
        io::Error::new(io::ErrorKind::ConnectionAborted, "connection given up")
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_abort(cx)?;
        let before = buf.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        if read > 0 {
            self.state.last_read_us.store(self.state.clock.now().0, Ordering::Relaxed);
            self.state.bytes.received.fetch_add(read as u64, Ordering::Relaxed);
        }
        result
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.state.is_aborted() {
            return Poll::Ready(Err(self.reset()));
        }
        if let Err(error) = self.state.gate.check() {
            self.state.abort();
            self.reset();
            return Poll::Ready(Err(error));
        }
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = &result {
            self.state.bytes.sent.fetch_add(*written as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.inner).poll_flush(cx);
        if matches!(result, Poll::Ready(Ok(()))) && self.state.gate.flushed() {
            cx.waker().wake_by_ref();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
