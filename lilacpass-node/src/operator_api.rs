//! Queries of operators: the state of an instance, the state of the cell, and why a job is in its current state. Only
//! the leader can answer the last two; other instances name it in their response.

use bytes::Bytes;
use http::StatusCode;
use lilacpass_jobs::JobKey;
use lilacpass_platform::server::Reply;
use serde_json::{Value, json};

use crate::{clock, leader_handle::OperatorQuery, node::Node};

/// Path of the state of an instance.
pub const INSTANCE_PATH: &str = "/operator/instance";
/// Path of the state of the cell.
pub const STATUS_PATH: &str = "/operator/status";
/// Path prefix that is followed by the id of a job.
pub const EXPLAIN_PATH: &str = "/operator/explain/";

/// Handles an operator's request.
pub async fn serve(node: &Node, path: &str) -> Reply {
    if path == INSTANCE_PATH {
        return ok(&instance_status(node));
    }
    let query = if path == STATUS_PATH {
        OperatorQuery::Status
    } else if let Some(key) = path.strip_prefix(EXPLAIN_PATH) {
        match key.parse::<JobKey>() {
            Ok(key) => OperatorQuery::Job(key),
            Err(err) => return Reply::error(StatusCode::BAD_REQUEST, &err.to_string()),
        }
    } else {
        return Reply::error(StatusCode::NOT_FOUND, "no such call");
    };
    let leader = node.leader_handle.borrow().clone();
    let response = match leader {
        Some(leader) => leader.inspect(query).await,
        None => None,
    };
    match response {
        Some(Value::Null) => Reply::error(StatusCode::NOT_FOUND, "no such job"),
        Some(value) => ok(&value),
        None => {
            let leader = node.leader.borrow().address.clone();
            let body = json!({ "error": "this instance does not lead", "leader": leader });
            Reply::body(StatusCode::MISDIRECTED_REQUEST, Bytes::from(body.to_string()))
        }
    }
}

/// The state of this instance.
fn instance_status(node: &Node) -> Value {
    let view = node.leader.borrow().clone();
    let now_ms = clock::now().steady_ms;
    json!({
        "instance": node.settings.instance,
        "data_centre": node.settings.data_centre,
        "leads": node.leads(),
        "epoch": view.epoch,
        "leader": view.address,
        "leader_heard_ago_ms": now_ms.saturating_sub(node.last_leader_response_ms.get()),
        "store_heard_ago_ms": now_ms.saturating_sub(node.last_store_response_ms.get()),
        "desired_version": node.desired_version(),
        "open_requests": node.open_requests.get(),
        "leaving": node.is_leaving(),
    })
}

fn ok(value: &Value) -> Reply {
    Reply::body(StatusCode::OK, Bytes::from(value.to_string()))
}
