//! Which instance leads, with real processes on the stand-in for the platform.

use std::{env, fs, path::Path, time::Duration};

use lilacpass_core::Resources;
use lilacpass_platform_standin::{
    cell::Cell,
    instances::{Instance, Spec},
    load::{self, Callers},
};
use tokio::{runtime, task::LocalSet, time};

const FIRST_PORT: u16 = 22_700;
const WORKERS: usize = 2;
/// How often the leader is asked for before it counts as missing, and the pause between.
const LOOKS: u32 = 300;
const PAUSE: Duration = Duration::from_millis(100);

/// Waits until one of these instances leads, and returns its number.
async fn wait_for_leader(callers: &Callers, instances: &[Instance], among: &[usize]) -> usize {
    let addresses: Vec<String> = instances.iter().map(|i| i.peer_address.clone()).collect();
    let mut seen = None;
    for _ in 0..LOOKS {
        seen = callers.leader(&addresses).await;
        if let Some(leader) = seen.filter(|leader| among.contains(leader)) {
            return leader;
        }
        time::sleep(PAUSE).await;
    }
    panic!("the leader is {seen:?}, none of {among:?}");
}

/// Callers of a large cell wait ever longer, and most give up, though workers stand idle.
/// The instance that was the first to run leads, and has an eighth of a core; or the leader is lost, and
/// a small instance takes its place. It takes in less than arrives, while larger instances follow it.
#[test]
fn the_largest_instance_leads() {
    let folder = env::temp_dir().join(format!("lilacpass-election-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, play(&folder));
    fs::remove_dir_all(&folder).expect("removed");
}

async fn play(folder: &Path) {
    let program = Path::new(env!("CARGO_BIN_EXE_lilacpass-node"));
    let resources = Resources::new(16_000, 65_536, 0, 0);
    let cell = Cell::serve(FIRST_PORT, WORKERS, resources).expect("a cell");
    cell.publish("config", &load::desired_state(1));
    let port = FIRST_PORT + 2 + WORKERS as u16;
    let mut instances: Vec<Instance> = [0.125, 0.125, 0.5, 0.5]
        .into_iter()
        .zip(0..)
        .map(|(cpu_share, number)| Spec { number, cpu_share })
        .map(|spec| Instance::new(spec, port, &cell, program, folder).expect("an instance"))
        .collect();
    let addresses = instances.iter().map(|i| i.callers_address.clone()).collect();
    let callers = Callers::new(addresses, cell.clone());

    instances[0].start().expect("started");
    assert_eq!(wait_for_leader(&callers, &instances, &[0]).await, 0);
    for instance in &mut instances[1..] {
        instance.start().expect("started");
    }
    let first = wait_for_leader(&callers, &instances, &[2, 3]).await;
    instances[first].kill().expect("killed");
    let other = if first == 2 { 3 } else { 2 };
    wait_for_leader(&callers, &instances, &[other]).await;
}
