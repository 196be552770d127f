//! What callers are told by an instance that reaches neither the leader nor the store, with real
//! processes on the stand-in for the platform.

use std::{
    env, fs,
    io::{Read, Write},
    net::TcpStream,
    path::Path,
    time::Duration,
};

use lilacpass_core::Resources;
use lilacpass_platform_standin::{
    cell::{Cell, Faults},
    instances::{Instance, Spec},
    load::{self, Callers, HOST, QUEUES},
};
use tokio::{runtime, task, task::LocalSet, time};

const FIRST_PORT: u16 = 22_850;
/// How often something is looked for before it counts as missing, and the pause between.
const LOOKS: u32 = 300;
const PAUSE: Duration = Duration::from_millis(100);

/// Asks for a count over a connection of its own, and returns the head of the answer.
fn ask(address: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else { return String::new() };
    let queue = QUEUES[0].name;
    let head = format!("GET /{queue}/ HTTP/1.1\r\nHost: {HOST}\r\nX-Deadline-Ms: 3000\r\n\r\n");
    let timeout = Some(Duration::from_secs(10));
    stream.set_read_timeout(timeout).expect("a timeout");
    stream.write_all(head.as_bytes()).expect("sent");
    let mut bytes = [0; 1_024];
    let read = stream.read(&mut bytes).expect("an answer");
    String::from_utf8_lossy(&bytes[..read]).to_lowercase()
}

/// Shopkeepers of one data centre are refused for as long as it is cut off, though the others serve:
/// their connections stay open, and the balancer sends only new connections elsewhere.
#[test]
fn a_caller_that_is_refused_for_want_of_a_leader_is_let_go() {
    let folder = env::temp_dir().join(format!("lilacpass-cut-off-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, play(&folder));
    fs::remove_dir_all(&folder).expect("removed");
}

async fn play(folder: &Path) {
    let program = Path::new(env!("CARGO_BIN_EXE_lilacpass-node"));
    let cell = Cell::serve(FIRST_PORT, 1, Resources::new(16_000, 65_536, 0, 0)).expect("a cell");
    cell.publish("config", &load::desired_state(1));
    let mut instances: Vec<Instance> = (0..2)
        .map(|number| Spec { number, cpu_share: 1.0 })
        .map(|spec| Instance::new(spec, FIRST_PORT + 10, &cell, program, folder).expect("made"))
        .collect();
    instances.iter_mut().for_each(|instance| instance.start().expect("started"));
    let addresses: Vec<String> = instances.iter().map(|i| i.callers_address.clone()).collect();
    let peers: Vec<String> = instances.iter().map(|i| i.peer_address.clone()).collect();
    let callers = Callers::new(addresses.clone(), cell.clone());
    for address in &addresses {
        wait_for(address, |head| head.contains(" 200 ") && !head.contains("connection: close"))
            .await;
    }
    let leader = callers.leader(&peers).await.expect("one leads");
    cell.faults.replace(Faults { store_down: true, ..Faults::default() });
    instances[leader].kill().expect("killed");
    let other = &addresses[1 - leader];
    wait_for(other, |head| head.contains(" 503 ") && head.contains("connection: close")).await;
}

/// Asks until the head of the answer is as it should be.
async fn wait_for(address: &str, is_right: impl Fn(&str) -> bool) {
    let mut head = String::new();
    for _ in 0..LOOKS {
        let to = address.to_owned();
        head = task::spawn_blocking(move || ask(&to)).await.expect("asked");
        if is_right(&head) {
            return;
        }
        time::sleep(PAUSE).await;
    }
    panic!("the answer is {head:?}");
}
