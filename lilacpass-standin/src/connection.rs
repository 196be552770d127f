//! Accepted connections that can go silent for good or break, as a fault.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError, Weak,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, Waker, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tonic::transport::server::Connected;

/// Bytes that a silent connection swallows at a time.
const SWALLOW_BYTES: usize = 4096;

/// Faults of one connection; call handlers find it in the extensions of their request.
#[derive(Clone, Debug, Default)]
pub struct ConnectionFaults(Arc<Flags>);

#[derive(Debug, Default)]
struct Flags {
    silent: AtomicBool,
    broken: AtomicBool,
    reader: Mutex<Option<Waker>>,
}

impl ConnectionFaults {
    /// From now on the connection swallows all bytes and sends none.
    pub fn silence(&self) {
        self.0.silent.store(true, Ordering::SeqCst);
    }

    /// Ends the connection with an error.
    pub fn break_off(&self) {
        self.0.broken.store(true, Ordering::SeqCst);
        let waker = self.0.reader.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    fn is_silent(&self) -> bool {
        self.0.silent.load(Ordering::SeqCst)
    }

    fn check(&self, cx: &Context<'_>) -> io::Result<()> {
        *self.0.reader.lock().unwrap_or_else(PoisonError::into_inner) = Some(cx.waker().clone());
        if self.0.broken.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }
}

/// Counts of the connections of one worker.
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    /// Open now.
    pub now: AtomicU64,
    /// Most that were open at once.
    pub most: AtomicU64,
    /// Refused because there were too many already.
    pub refused: AtomicU64,
}

/// Open connections of one worker.
#[derive(Debug, Default)]
pub struct Connections {
    /// Their counts.
    pub counts: Arc<ConnectionCounts>,
    open: Mutex<Vec<Weak<Flags>>>,
}

impl Connections {
    /// Takes a connection over, or drops it where `limit` are open already.
    pub fn admit(&self, stream: TcpStream, limit: u64) -> Option<FaultyStream> {
        if self.counts.now.load(Ordering::SeqCst) >= limit {
            self.counts.refused.fetch_add(1, Ordering::SeqCst);
            return None;
        }
        let now = self.counts.now.fetch_add(1, Ordering::SeqCst) + 1;
        self.counts.most.fetch_max(now, Ordering::SeqCst);
        let faults = ConnectionFaults::default();
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|flags| flags.strong_count() > 0);
        open.push(Arc::downgrade(&faults.0));
        Some(FaultyStream { stream, faults, counts: self.counts.clone() })
    }

    /// Does something to each open connection.
    pub fn for_each(&self, action: impl Fn(&ConnectionFaults)) {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.iter().filter_map(Weak::upgrade).for_each(|flags| action(&ConnectionFaults(flags)));
    }
}

/// A TCP connection with its faults.
#[derive(Debug)]
pub struct FaultyStream {
    stream: TcpStream,
    /// Its faults.
    pub faults: ConnectionFaults,
    counts: Arc<ConnectionCounts>,
}

impl Drop for FaultyStream {
    fn drop(&mut self) {
        self.counts.now.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Connected for FaultyStream {
    type ConnectInfo = ConnectionFaults;

    fn connect_info(&self) -> ConnectionFaults {
        self.faults.clone()
    }
}

impl AsyncRead for FaultyStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.faults.check(cx)?;
        if !self.faults.is_silent() {
            let before = buf.filled().len();
            ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
            if !self.faults.is_silent() {
                return Poll::Ready(Ok(()));
            }
            // It went silent while the read was waiting: these bytes never arrived.
            buf.set_filled(before);
        }
        // Bytes are swallowed, so that the other end sees them acknowledged and learns nothing; its
        // close is seen, so that the connection doesn't count for ever.
        loop {
            let mut scratch = [0; SWALLOW_BYTES];
            let mut scratch = ReadBuf::new(&mut scratch);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut scratch))?;
            if scratch.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.faults.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
