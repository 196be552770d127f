//! Calls to the advice service, made directly or through another instance.

use std::time::Duration;

use lilacpass_jobs::{StepName, WorkerName};
use lilacpass_lead::event::{Advice, WorkerTicket};
use lilacpass_platform::advice;
use lilacpass_schema::v1;
use tokio::time;

use super::{ADVISE_PATH, post};
use crate::{metrics, node::Node};

/// Added to the timeout of an advice call for the round trip to the peer.
const HOP_TIMEOUT: Duration = Duration::from_millis(100);

/// Requests advice through a peer.
pub async fn advise_through_peer(
    node: &Node,
    address: &str,
    step: StepName,
    workers: &[WorkerName],
    timeout: Duration,
) -> Option<Advice> {
    let message = v1::PeerAdvise {
        step: step.to_string(),
        workers: workers.iter().map(|worker| worker.id().to_owned()).collect(),
        timeout_ms: timeout.as_millis() as u32,
    };
    let timeout = timeout + HOP_TIMEOUT;
    let reply: v1::PeerAdviseReply = post(node, address, ADVISE_PATH, &message, timeout)
        .await
        .inspect_err(
            |err| log::debug!(step:% = step, error:% = err; "advice call through a peer failed"),
        )
        .ok()?;
    if !reply.answered {
        return None;
    }
    let row = |row: v1::AdviceTicket| WorkerTicket {
        worker: WorkerName::from(row.worker.as_str()),
        ticket: row.ticket,
    };
    let advice = Advice {
        good: reply.good.into_iter().map(row).collect(),
        valid_ms: u64::from(reply.valid_ms.saturating_sub(reply.age_ms)),
    };
    Some(advice::attribute(advice, workers))
}

/// Requests advice directly from the advice service.
pub async fn advise(
    node: &Node,
    step: StepName,
    workers: &[WorkerName],
    timeout: Duration,
) -> Option<Advice> {
    let address = node.settings.advice_address.as_deref()?;
    let result = advice::request(&node.client, address, step, workers, timeout).await;
    node.metrics.advice(metrics::outcome(&result));
    result.inspect_err(|err| log::info!(step:% = step, error:% = err; "advice call failed")).ok()
}

/// Calls the advice service on behalf of the leader.
pub(super) async fn handle(node: &Node, request: v1::PeerAdvise) -> v1::PeerAdviseReply {
    let no_advice = v1::PeerAdviseReply::default();
    let Some(step) = parse_step(&request.step) else { return no_advice };
    let workers: Vec<WorkerName> =
        request.workers.iter().map(|name| WorkerName::from(name.as_str())).collect();
    let timeout = Duration::from_millis(u64::from(request.timeout_ms));
    let started = time::Instant::now();
    let Some(advice) = advise(node, step, &workers, timeout).await else { return no_advice };
    log::debug!(step:% = step, took_ms = started.elapsed().as_millis() as u64; "advice call completed");
    let row = |row: WorkerTicket| v1::AdviceTicket {
        worker: row.worker.id().to_owned(),
        ticket: row.ticket,
    };
    v1::PeerAdviseReply {
        answered: true,
        good: advice.good.into_iter().map(row).collect(),
        valid_ms: advice.valid_ms as u32,
        age_ms: 0,
        detail: String::new(),
    }
}

/// Parses the name of a step, which is the name of a task without its index.
fn parse_step(text: &str) -> Option<StepName> {
    let task: lilacpass_jobs::TaskName = format!("{text}.0").parse().ok()?;
    Some(task.step)
}
