//! How an instance follows the desired state in the store.

use std::{rc::Rc, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::{BufMut, Bytes, BytesMut};
use http::StatusCode;
use lilacpass_lead::event::Record;
use lilacpass_node::{desired_watch, node::Node};
use lilacpass_platform::{
    desired::{self, Limits},
    server::{self, Received, Reply},
    store,
};
use lilacpass_platform_standin::{instances, load};
use serde_json::json;
use tokio::{
    runtime, task,
    time::{self, Instant},
};

/// Versions that were published while the store did not answer the instance.
const VERSIONS: u64 = 12;
/// How long one desired state takes on the way: 770 KB over 10 Mbit/s.
const TRANSFER_TIME: Duration = Duration::from_millis(620);

/// When the store stops answering, and when it answers again.
const OUTAGE: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(2_300));

/// Answers as a store does that was away while all versions but the first were published. Each read brings one, as
/// two are longer than the most that a read brings.
async fn answer(received: Received, up: Duration) -> Reply {
    let (down, back) = OUTAGE;
    if up >= down && up < back {
        return Reply::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let last = if up < down { 1 } else { VERSIONS };
    let from = received.query.split('&').find_map(|part| part.strip_prefix("from="));
    let Some(from) = from else {
        // The newest of each key are asked for without a place.
        time::sleep(TRANSFER_TIME.min(down / 2)).await;
        return newest(last);
    };
    let from: u64 = from.parse().expect("a place");
    if from >= last {
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

/// Callers of one instance are told for seconds that a queue does not exist which was added long ago. The store had
/// not answered the instance while operators published a dozen versions; it then read all of them in order,
/// each as long as the last, which alone counts.
#[test]
fn a_lagging_instance_skips_to_the_newest_desired_state() {
    /// One version that is read in vain, a pause, and the newest.
    const MAX_CATCH_UP: Duration = Duration::from_millis(2_500);
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    task::LocalSet::new().block_on(&runtime, async {
        let listener = server::listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let node = node(&listener.local_addr().expect("an address").to_string());
        let begin = Instant::now();
        let handler = move |received| answer(received, begin.elapsed());
        task::spawn_local(server::serve(listener, Limits::default, handler));
        task::spawn_local(desired_watch::run(node.clone()));
        time::sleep(OUTAGE.0).await;
        assert_eq!(node.desired_version(), 1);
        time::sleep_until(begin + OUTAGE.1 + MAX_CATCH_UP).await;
        assert_eq!(node.desired_version(), VERSIONS);
    });
}
