//! Calls to other entry instances.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use lilacpass_config::PeerKey;
use lilacpass_control::event::{CallFailure, PeerCall, PeerReply};
use lilacpass_schema::v1::peer_client::PeerClient;
use tokio::time::{Instant, timeout_at};
use tonic::{Request, Status, metadata::AsciiMetadataValue};

use crate::{
    link::{CallTrace, Link, LinkOptions, Pool, connection::CallService, failure},
    peers,
};

/// Calls without answer in a row after which a connection is replaced.
const MAX_TIMEOUTS: u32 = 2;

/// Connections to other entry instances, one per address.
#[derive(Debug)]
pub struct Peers {
    pool: Pool<SocketAddr>,
    key: Option<AsciiMetadataValue>,
    replaced: AtomicU64,
}

impl Peers {
    /// No connections yet. Calls carry `key`.
    pub fn new(options: LinkOptions, key: Option<&PeerKey>) -> Self {
        let key = key.and_then(|key| key.expose().parse().ok());
        Self { pool: Pool::new(options), key, replaced: AtomicU64::new(0) }
    }

    /// Connections replaced since they had gone silent.
    pub fn replaced(&self) -> u64 {
        self.replaced.load(Ordering::Relaxed)
    }

    /// Calls the peer at `address`; gives up after `timeout`, connecting included.
    ///
    /// # Errors
    ///
    /// Why there is no answer, and whether the call may have had an effect.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: PeerCall,
        timeout: Duration,
    ) -> Result<PeerReply, CallFailure> {
        let deadline = Instant::now() + timeout;
        let link = timeout_at(deadline, self.pool.get(address, address))
            .await
            .map_err(|_| failure::connect("no connection in time"))?
            .map_err(failure::connect)?;
        let trace = Arc::new(CallTrace::default());
        let service = link.service(trace.clone(), None);
        let sent = send(&link, service, self.key.clone(), request);
        match timeout_at(deadline, sent).await {
            Ok(Ok(reply)) => {
                link.note_answer();
                Ok(reply)
            }
            Ok(Err(status)) => Err(failure::status(&status, &trace)),
            Err(_) => {
                self.after_timeout(address, &link).await;
                Err(failure::timeout(&trace))
            }
        }
    }

    async fn after_timeout(&self, address: SocketAddr, link: &Arc<Link>) {
        if link.note_timeout() >= MAX_TIMEOUTS {
            self.replaced.fetch_add(1, Ordering::Relaxed);
            self.pool.retire(&address, link).await;
        }
    }
}

async fn send(
    link: &Link,
    service: CallService,
    key: Option<AsciiMetadataValue>,
    request: PeerCall,
) -> Result<PeerReply, Status> {
    let mut client = PeerClient::with_origin(service, link.origin())
        .max_decoding_message_size(peers::MAX_MESSAGE_BYTES);
    match request {
        PeerCall::Heartbeat(call) => {
            let answer = client.heartbeat(with_key(call, key)).await?;
            Ok(PeerReply::Heartbeat(answer.into_inner()))
        }
        PeerCall::Forward(call) => {
            let answer = client.forward(with_key(call, key)).await?;
            Ok(PeerReply::Forward(answer.into_inner()))
        }
        PeerCall::CancelForward(call) => {
            client.cancel_forward(with_key(call, key)).await?;
            Ok(PeerReply::CancelForward)
        }
        PeerCall::Hold(call) => {
            let answer = client.hold(with_key(call, key)).await?;
            Ok(PeerReply::Hold(answer.into_inner()))
        }
        PeerCall::Unhold(call) => {
            client.unhold(with_key(call, key)).await?;
            Ok(PeerReply::Unhold)
        }
        PeerCall::StartHeld(call) => {
            let answer = client.start_held(with_key(call, key)).await?;
            Ok(PeerReply::StartHeld(answer.into_inner()))
        }
        PeerCall::StopTasks(call) => {
            client.stop_tasks(with_key(call, key)).await?;
            Ok(PeerReply::StopTasks)
        }
        PeerCall::FetchConfig(call) => {
            let answer = client.fetch_config(with_key(call, key)).await?;
            Ok(PeerReply::FetchConfig(Box::new(answer.into_inner())))
        }
    }
}

fn with_key<T>(message: T, key: Option<AsciiMetadataValue>) -> Request<T> {
    let mut request = Request::new(message);
    if let Some(key) = key {
        request.metadata_mut().insert(peers::KEY_METADATA, key);
    }
    request
}
