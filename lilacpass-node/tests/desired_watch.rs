//! Watching the desired state in the store.

use std::{rc::Rc, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::{BufMut, Bytes, BytesMut};
use http::StatusCode;
use lilacpass_lead::event::Record;
use lilacpass_node::{desired_watch, node::Node};
use lilacpass_platform::{
    desired::{self, Limits},
    server::{self, ReceivedRequest, Reply},
    store,
};
use lilacpass_platform_standin::{instances, load};
use serde_json::json;
use tokio::{
    runtime, task,
    time::{self, Instant},
};

/// Number of versions that are published while the instance cannot reach the store.
const VERSIONS: u64 = 12;
/// Transfer time of a desired state: 770 KB over 10 Mbit/s.
const TRANSFER_TIME: Duration = Duration::from_millis(620);

/// When the store stops responding, and when it responds again, as times since its start.
const OUTAGE: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(2_300));

/// Responds as a store that was unavailable while all versions but the first were published. Each read returns one
/// record, as two are longer than the maximum of a read.
async fn respond(received: ReceivedRequest, uptime: Duration) -> Reply {
    let (down, back) = OUTAGE;
    if uptime >= down && uptime < back {
        return Reply::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let last = if uptime < down { 1 } else { VERSIONS };
    let from = received.query.split('&').find_map(|part| part.strip_prefix("from="));
    let Some(from) = from else {
        // A request without a position asks for the newest record of each key. The first one must be answered before
        // the outage starts.
        time::sleep(TRANSFER_TIME.min(down / 2)).await;
        return newest(last);
    };
    let from: u64 = from.parse().expect("a position");
    if from >= last {
        // A read from the end waits, and returns nothing if no record is written meanwhile.
        time::sleep(down).await;
        return read(Bytes::new(), last);
    }
    time::sleep(TRANSFER_TIME).await;
    let value = load::desired_state(from + 1).to_string().into_bytes();
    let record = Record { key: desired::KEY.to_owned(), value };
    read(store::encode_records(&[record]).expect("encoded"), last)
}

fn newest(last: u64) -> Reply {
    let value = STANDARD.encode(load::desired_state(last).to_string());
    let item = json!({ "key": desired::KEY, "value": value, "offset": last - 1 });
    let page = json!({ "items": [item], "hasMore": false, "end": last });
    Reply::body(StatusCode::OK, Bytes::from(page.to_string()))
}

fn read(records: Bytes, end: u64) -> Reply {
    let mut bytes = BytesMut::new();
    bytes.put_u64(end);
    bytes.put_u64(0);
    bytes.put_slice(&records);
    Reply::body(StatusCode::OK, bytes.freeze())
}

fn node(store: &str) -> Rc<Node> {
    Rc::new(Node::new(instances::settings(store, 0.0)))
}

/// Guards against an instance that tells its clients for seconds that a queue which was added long ago does not exist.
/// The instance could not reach the store while operators published a dozen versions. It then read all of them in
/// order, each as long as the last, although only the last one matters.
#[test]
fn a_lagging_instance_skips_to_the_newest_desired_state() {
    /// Enough to read one outdated version, to pause, and to read the newest one.
    const MAX_CATCH_UP: Duration = Duration::from_millis(2_500);
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    task::LocalSet::new().block_on(&runtime, async {
        let listener = server::listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let node = node(&listener.local_addr().expect("an address").to_string());
        let begin = Instant::now();
        let handler = move |received| respond(received, begin.elapsed());
        task::spawn_local(server::serve(listener, Limits::default, handler));
        task::spawn_local(desired_watch::run(node.clone()));
        time::sleep(OUTAGE.0).await;
        assert_eq!(node.desired_version(), 1);
        time::sleep_until(begin + OUTAGE.1 + MAX_CATCH_UP).await;
        assert_eq!(node.desired_version(), VERSIONS);
    });
}
