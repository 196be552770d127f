//! Which instance leads, with real processes on the stand-in for the platform.

mod cluster;

const FIRST_PORT: u16 = 22_700;
/// Callers of a large cell wait ever longer, and most give up, though workers stand idle.
/// The instance that was the first to run leads, and has an eighth of a core; or the leader is lost, and
/// a small instance takes its place. It takes in less than arrives, while larger instances follow it.
#[test]
fn the_largest_instance_leads() {
    cluster::run(FIRST_PORT, &[0.125, 0.125, 0.5, 0.5], async |mut cluster| {
        cluster.instances[0].start().expect("started");
        assert_eq!(cluster.wait_for_leader(&[0]).await, 0);
        for instance in &mut cluster.instances[1..] {
            instance.start().expect("started");
        }
        let first = cluster.wait_for_leader(&[2, 3]).await;
        cluster.instances[first].kill().expect("killed");
        let other = if first == 2 { 3 } else { 2 };
        cluster.wait_for_leader(&[other]).await;
    });
}
