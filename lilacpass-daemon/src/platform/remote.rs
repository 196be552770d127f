//! One service of the platform, reachable at several addresses.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use lilacpass_control::event::CallFailure;
use lilacpass_core::MonoTime;
use tokio::time::{Instant, timeout_at};
use tonic::{Request, Response, Status, metadata::AsciiMetadataValue};

use crate::{
    link::{CallTrace, Link, Pool, connection::CallService, failure, trace::Progress},
    platform::PlatformOptions,
};

/// Metadata entry that tells the platform which instance calls.
pub const INSTANCE_METADATA: &str = "x-instance";

/// Largest answer that is read, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// One service.
#[derive(Debug)]
pub struct Remote {
    addresses: Vec<SocketAddr>,
    current: AtomicUsize,
    pool: Pool<SocketAddr>,
    call_timeout: Duration,
    me: Option<AsciiMetadataValue>,
}

impl Remote {
    /// The service at `addresses`.
    pub fn new(addresses: &[SocketAddr], options: &PlatformOptions) -> Self {
        Self {
            addresses: addresses.to_vec(),
            current: AtomicUsize::new(0),
            pool: Pool::new(options.link.clone()),
            call_timeout: options.call_timeout,
            me: options.me.as_str().parse().ok(),
        }
    }

    /// The present moment.
    pub fn now(&self) -> MonoTime {
        self.pool.options().clock.now()
    }

    /// Wraps a message for a call.
    pub fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        if let Some(me) = &self.me {
            request.metadata_mut().insert(INSTANCE_METADATA, me.clone());
        }
        request
    }

    /// Makes one call, which may take `wait` longer than the deadline of calls.
    ///
    /// Where no connection can be made the next address is tried, each once; nothing has been
    /// sent by then. After any other failure only the next call goes to the next address.
    ///
    /// # Errors
    ///
    /// Why there is no answer, and whether the call may have had an effect.
    pub async fn call<T>(
        &self,
        wait: Duration,
        send: impl AsyncFnOnce(Arc<Link>, CallService) -> Result<Response<T>, Status>,
    ) -> Result<T, CallFailure> {
        let deadline = Instant::now() + self.call_timeout + wait;
        let first = self.current.load(Ordering::Relaxed);
        let connected = timeout_at(deadline, self.connect(first)).await;
        let (index, link) = connected.unwrap_or_else(|_| {
            self.move_on(first);
            Err(failure::connect("no connection in time"))
        })?;
        let trace = Arc::new(CallTrace::default());
        let service = link.service(trace.clone(), None);
        match timeout_at(deadline, send(link.clone(), service)).await {
            Ok(Ok(answer)) => Ok(answer.into_inner()),
            Ok(Err(status)) => {
                let failure = failure::status(&status, &trace);
                if !trace.bare_status() {
                    self.move_on(index);
                }
                Err(failure)
            }
            Err(_) => {
                if trace.progress() == Progress::Handed {
                    self.pool.retire(&link.address(), &link).await;
                }
                self.move_on(index);
                Err(failure::timeout(&trace))
            }
        }
    }

    async fn connect(&self, first: usize) -> Result<(usize, Arc<Link>), CallFailure> {
        let mut failed = failure::connect("no address");
        for index in first..first + self.addresses.len() {
            let address = self.addresses[index % self.addresses.len()];
            match self.pool.get(address, address).await {
                Ok(link) => return Ok((index, link)),
                Err(error) => failed = failure::connect(format_args!("{address}: {error}")),
            }
            self.move_on(index);
        }
        Err(failed)
    }

    /// Leaves the address that call `index` used, unless another call has done so already.
    fn move_on(&self, index: usize) {
        let next = index + 1;
        let _ = self.current.compare_exchange(index, next, Ordering::Relaxed, Ordering::Relaxed);
    }
}
