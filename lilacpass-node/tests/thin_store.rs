//! Store calls whose size grows with the work of the cell, over a link with low bandwidth.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use lilacpass_node::{append, node::Node, takeover};
use lilacpass_platform::{
    desired::Limits,
    server::{self, Reply},
    store::Writer,
};
use lilacpass_platform_standin::instances;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    runtime, task,
    time::{self, Instant},
};

/// Bandwidth of a link of 2 Mbit/s.
const LINK_MBPS: f64 = 2.0;
const LINK_BYTES_PER_SECOND: f64 = 250_000.0;
/// Small, so that data that has not passed the link yet waits at the sender.
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1_024;
const CHUNK_BYTES: usize = 4 * 1_024;

/// An instance that uses the store at an address.
fn node(store: &str) -> Rc<Node> {
    Rc::new(Node::new(instances::settings(store, LINK_MBPS)))
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    task::LocalSet::new().block_on(&runtime, test)
}

/// A link whose bandwidth is shared by all connections.
struct Link {
    free_at: Cell<Instant>,
}

impl Link {
    /// Waits until `bytes` have passed.
    async fn transfer(&self, bytes: usize) {
        let transfer_time = Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_SECOND);
        let passed_at = self.free_at.get().max(Instant::now()) + transfer_time;
        self.free_at.set(passed_at);
        time::sleep_until(passed_at).await;
    }
}

/// Starts a store behind a thin link, which responds to each append that has arrived completely. Returns its address.
fn open_thin_store() -> String {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a small buffer");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let listener = socket.listen(64).expect("a listener");
    let address = listener.local_addr().expect("an address").to_string();
    task::spawn_local(accept(listener));
    address
}

async fn accept(listener: TcpListener) {
    let link = Rc::new(Link { free_at: Cell::new(Instant::now()) });
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        task::spawn_local(receive_append(stream, link.clone()));
    }
}

async fn receive_append(mut stream: TcpStream, link: Rc<Link>) {
    let mut arrived = Vec::new();
    let mut chunk = [0; CHUNK_BYTES];
    while !is_complete(&arrived) {
        let Ok(length @ 1..) = stream.read(&mut chunk).await else { return };
        link.transfer(length).await;
        arrived.extend_from_slice(&chunk[..length]);
    }
    let body = r#"{"offset":0,"end":1}"#;
    let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    // A client that has given up does not read the response.
    let _closed = stream.write_all(response.as_bytes()).await;
}

fn is_complete(request: &[u8]) -> bool {
    let Some(head_end) = request.windows(4).position(|w| w == b"\r\n\r\n") else { return false };
    let head = String::from_utf8_lossy(&request[..head_end]).to_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.expect("a length").parse().expect("a number");
    request.len() >= head_end + 4 + length
}

/// Guards against a leader with a thin link that cannot store anything any more, so that no job is accepted or
/// assigned. 300 KB of records have accumulated, which take 1.2 s over 2 Mbit/s. The append was sent again after 90 ms,
/// and again, while earlier attempts were in flight. All copies shared the link, none was complete after 3 s, and new
/// ones took their place.
#[test]
fn a_large_append_is_stored_over_a_thin_link() {
    const RECORD_BYTES: usize = 300_000;
    const MAX_TIME: Duration = Duration::from_secs(6);
    run(async {
        let node = node(&open_thin_store());
        let records = Bytes::from(vec![0; RECORD_BYTES]);
        let writer = Writer { epoch: 1, sequence: 0 };
        let partition = takeover::jobs_partition();
        let storing = append::store(&node, &partition, writer, &records);
        assert_eq!(time::timeout(MAX_TIME, storing).await, Ok(Ok(())));
    });
}

/// Starts a store that has `pages` pages of jobs, each of which takes 0.9 s. It refuses each call whose number
/// satisfies `refused`. Returns its address.
fn open_paged_store(pages: u32, refused: fn(u32) -> bool) -> String {
    const PAGE_LATENCY: Duration = Duration::from_millis(900);
    let listener = server::listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let calls = Rc::new(Cell::new(0));
    let served = Rc::new(Cell::new(0));
    let handler = move |_received| {
        let (calls, served) = (calls.clone(), served.clone());
        async move {
            calls.set(calls.get() + 1);
            if refused(calls.get()) {
                return Reply::status(StatusCode::SERVICE_UNAVAILABLE);
            }
            time::sleep(PAGE_LATENCY).await;
            served.set(served.get() + 1);
            let item = json!({ "key": takeover::LEAD_KEY, "value": "", "offset": served.get() });
            let page = json!({ "items": [item], "hasMore": served.get() < pages, "end": 9 });
            Reply::body(StatusCode::OK, Bytes::from(page.to_string()))
        }
    };
    task::spawn_local(server::serve(listener, Limits::default, handler));
    address
}

/// Guards against a cell that has no leader for a long time. Reading all jobs over a thin link takes longer than the
/// two seconds for which calls may keep failing. That time was counted from the start of the read, so the first refusal
/// after those two seconds discarded all pages, and the next attempt started over.
#[test]
fn a_late_refusal_does_not_restart_a_long_read() {
    run(async {
        let node = node(&open_paged_store(4, |call| call == 4));
        assert!(takeover::read_snapshot(&node).await.is_some());
    });
}

/// Guards against an instance that waits for a store that refuses all calls, and meanwhile does not notice a new
/// leader.
#[test]
fn a_read_is_abandoned_if_the_store_keeps_refusing() {
    run(async {
        let node = node(&open_paged_store(4, |call| call >= 3));
        let begin = Instant::now();
        assert!(takeover::read_snapshot(&node).await.is_none());
        assert!(begin.elapsed() < Duration::from_secs(6), "took {:?}", begin.elapsed());
    });
}
