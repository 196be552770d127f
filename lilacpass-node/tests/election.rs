//! Selection of the leader, with real processes on the stand-in for the platform.

mod cluster;

const FIRST_PORT: u16 = 22_700;

/// Guards against a small leader while larger instances follow it. With an eighth of a core, the leader of a large cell
/// accepts less than arrives, and clients wait ever longer although workers are idle. Such an instance came to lead
/// because it was the first to start, or because it replaced a lost leader.
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
