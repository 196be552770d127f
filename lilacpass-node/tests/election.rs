//! Which instance leads, with real processes on the stand-in for the platform.

mod cluster;

use std::time::Duration;

use cluster::Cluster;
use tokio::time;

const FIRST_PORT: u16 = 22_700;
/// How often the leader is asked for before it counts as missing, and the pause between.
const LOOKS: u32 = 300;
const PAUSE: Duration = Duration::from_millis(100);

/// Waits until one of these instances leads, and returns its number.
async fn wait_for_leader(cluster: &Cluster, among: &[usize]) -> usize {
    let addresses = cluster.peer_addresses();
    let mut seen = None;
    for _ in 0..LOOKS {
        seen = cluster.callers.leader(&addresses).await;
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
    cluster::play(FIRST_PORT, &[0.125, 0.125, 0.5, 0.5], async |mut cluster| {
        cluster.instances[0].start().expect("started");
        assert_eq!(wait_for_leader(&cluster, &[0]).await, 0);
        for instance in &mut cluster.instances[1..] {
            instance.start().expect("started");
        }
        let first = wait_for_leader(&cluster, &[2, 3]).await;
        cluster.instances[first].kill().expect("killed");
        let other = if first == 2 { 3 } else { 2 };
        wait_for_leader(&cluster, &[other]).await;
    });
}
