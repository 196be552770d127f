//! Closes connections to workers that this instance does not use any more, and reports the others.
//!
//! A worker accepts few connections, from all instances together. One that led or relayed orders before must not keep
//! its own.

use std::{rc::Rc, time::Duration};

use lilacpass_platform::workers::ConnectionCount;
use tokio::time;

use crate::node::Node;

/// Interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Connections that have not been used for this long are closed. A leader that starts tasks on a worker less often opens
/// a connection for each.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

/// Closes unused connections for as long as the process runs.
pub async fn run(node: Rc<Node>) {
    let mut reported = ConnectionCount::default();
    loop {
        time::sleep(CHECK_INTERVAL).await;
        node.workers.close_idle(MAX_IDLE_TIME);
        let count = node.workers.connections();
        node.metrics.worker_connections(count, reported);
        reported = count;
    }
}
