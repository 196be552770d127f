//! Instances as processes on the stand-in for the platform, in a folder of their own.

#![allow(dead_code, unreachable_pub)]

use std::{env, fs, path::Path, rc::Rc};

use lilacpass_core::Resources;
use lilacpass_platform_standin::{
    cell::Cell,
    instances::{Instance, Spec},
    load::{self, Callers},
};
use tokio::{runtime, task::LocalSet};

/// Workers of the cell.
const WORKERS: usize = 2;

/// A cell and instances that are not started yet.
pub struct Cluster {
    pub cell: Rc<Cell>,
    pub instances: Vec<Instance>,
    pub callers: Callers,
}

impl Cluster {
    /// One instance for each share of a core, from `first_port` on.
    fn new(first_port: u16, cpu_shares: &[f64], folder: &Path) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_lilacpass-node"));
        let resources = Resources::new(16_000, 65_536, 0, 0);
        let cell = Cell::serve(first_port, WORKERS, resources).expect("a cell");
        cell.publish("config", &load::desired_state(1));
        let port = first_port + 2 + WORKERS as u16;
        let instances: Vec<Instance> = (0..)
            .zip(cpu_shares)
            .map(|(number, &cpu_share)| Spec { number, cpu_share })
            .map(|spec| Instance::new(spec, port, &cell, program, folder).expect("an instance"))
            .collect();
        let addresses = instances.iter().map(|i| i.callers_address.clone()).collect();
        let callers = Callers::new(addresses, cell.clone());
        Self { cell, instances, callers }
    }

    /// Where operators and other instances reach the instances.
    pub fn peer_addresses(&self) -> Vec<String> {
        self.instances.iter().map(|instance| instance.peer_address.clone()).collect()
    }
}

/// Plays a test on a cluster.
pub fn play(first_port: u16, cpu_shares: &[f64], test: impl AsyncFnOnce(Cluster)) {
    let name = format!("lilacpass-cluster-{}-{first_port}", std::process::id());
    let folder = env::temp_dir().join(name);
    fs::create_dir_all(&folder).expect("a folder");
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        test(Cluster::new(first_port, cpu_shares, &folder)).await;
    });
    fs::remove_dir_all(&folder).expect("removed");
}
