//! Renewals of the leader record, on the stand-in for the platform.

use std::{
    rc::Rc,
    sync::{Arc, mpsc as sync_mpsc},
    thread,
    time::Duration,
};

use lilacpass_core::Resources;
use lilacpass_lead::{Event, Options};
use lilacpass_node::{
    clock,
    former_leaders::FormerLeaders,
    leader_handle::Message,
    node::Node,
    renewal::{self, RenewalState},
    takeover::{self, NewLeadership},
};
use lilacpass_platform_standin::{
    cell::{Cell, CellConfig},
    instances,
};
use tokio::{runtime, sync::mpsc, task, time};

const FIRST_PORT: u16 = 22_720;
/// How long the thread of the event loop is busy.
const BUSY: Duration = Duration::from_millis(800);

/// A leader whose event loop is this test, with what it receives.
async fn lead(
    node: &Rc<Node>,
    state: &Arc<RenewalState>,
    leadership: &NewLeadership,
) -> mpsc::UnboundedReceiver<Message> {
    let (messages, received) = mpsc::unbounded_channel();
    renewal::start(node, state.clone(), leadership.epoch, leadership.sequence, messages)
        .expect("a thread");
    received
}

async fn take_over(node: &Rc<Node>) -> NewLeadership {
    let snapshot = takeover::read_snapshot(node).await.expect("the store responds");
    takeover::complete(node, snapshot, None).await.expect("no other instance takes over")
}

/// Runs a test with an instance on a cell of its own.
fn run(first_port: u16, test: impl AsyncFnOnce(Rc<Node>)) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    task::LocalSet::new().block_on(&runtime, async {
        // The stand-in has a thread of its own, so that it responds while the event loop is busy.
        let (address, served) = sync_mpsc::channel();
        thread::spawn(move || {
            let runtime =
                runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            task::LocalSet::new().block_on(&runtime, async {
                let resources = Resources::new(1_000, 1_000, 0, 0);
                let cell =
                    Cell::serve(first_port, CellConfig::small(1, resources)).expect("a cell");
                address.send(cell.store_address.clone()).expect("a receiver");
                std::future::pending::<()>().await;
            });
        });
        let store_address = served.recv().expect("a cell");
        test(Rc::new(Node::new(instances::settings(&store_address, 100.0)))).await;
    });
}

/// Number of renewals in the leader partition.
async fn renewals(node: &Node) -> u64 {
    let page = node
        .store
        .newest(&takeover::lead_partition(), None, Duration::from_secs(1))
        .await
        .expect("the store responds");
    page.end
}

/// Guards against replacing a leader that is busy: its renewals waited behind the work of its event loop, and followers
/// that got no response to their heartbeats found no renewal either.
#[test]
fn renewals_go_on_while_the_event_loop_is_busy() {
    run(FIRST_PORT, async |node| {
        let leadership = take_over(&node).await;
        let former = FormerLeaders::new(Options::default(), None, None, clock::now());
        let record = takeover::lead_record(&node, leadership.epoch, &former, clock::now());
        let state = RenewalState::new(record, clock::now().steady_ms);
        let mut received = lead(&node, &state, &leadership).await;
        time::sleep(Duration::from_millis(300)).await;
        let before = renewals(&node).await;
        thread::sleep(BUSY);
        let stored = renewals(&node).await - before;
        assert!(stored >= 3, "{stored} renewals in {BUSY:?}");
        let confirmed = std::iter::from_fn(|| received.try_recv().ok())
            .filter(|message| matches!(message, Message::Event(Event::LeadershipConfirmed { .. })))
            .count();
        assert!(confirmed >= 1, "the event loop learns of the renewals");
    });
}

/// Guards against a leader that is never replaced although its event loop does not run any more.
#[test]
fn renewals_end_if_the_event_loop_makes_no_progress() {
    let state = RenewalState::new(Default::default(), 10_000);
    assert!(state.is_progressing(11_999));
    assert!(!state.is_progressing(12_000));
    state.record_progress(12_000);
    assert!(state.is_progressing(13_000));
}
