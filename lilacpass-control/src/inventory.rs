//! The configuration in force, indexed for quick lookups.

use std::{collections::BTreeMap, net::SocketAddr};

use lilacpass_core::{
    Resources,
    ids::{DataCentreId, RackId, ShardId, WorkerId},
};
use lilacpass_hold::ShardSpec;
use lilacpass_schema::v1;

use crate::convert;

/// A worker as the inventory declares it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Worker {
    /// Address for holders.
    pub(crate) address: SocketAddr,
    /// Its data centre.
    pub(crate) data_centre: DataCentreId,
    /// Its rack.
    pub(crate) rack: RackId,
    /// The shard that it is held with.
    pub(crate) shard: ShardId,
    /// What it has.
    pub(crate) capacity: Resources,
    /// Most connections that it takes.
    pub(crate) connections: u32,
    /// Whether an operator has it take no new work.
    pub(crate) draining: bool,
}

/// All workers of the configuration in force.
#[derive(Debug, Default)]
pub(crate) struct Inventory {
    workers: BTreeMap<WorkerId, Worker>,
    cell: Resources,
    largest: Vec<Resources>,
}

impl Inventory {
    /// Indexes a configuration. Workers without a valid address are left out; the configuration's
    /// checks refuse them before.
    pub(crate) fn index(configuration: &v1::Configuration) -> Self {
        let workers: BTreeMap<WorkerId, Worker> =
            configuration.workers.iter().filter_map(index_worker).collect();
        let cell = workers.values().fold(Resources::ZERO, |sum, worker| sum.plus(&worker.capacity));
        let mut largest: Vec<Resources> = Vec::new();
        for worker in workers.values() {
            if largest.iter().any(|other| worker.capacity.fits(other)) {
                continue;
            }
            largest.retain(|other| !other.fits(&worker.capacity));
            largest.push(worker.capacity);
        }
        Self { workers, cell, largest }
    }

    /// One worker.
    pub(crate) fn worker(&self, id: &WorkerId) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// All workers.
    pub(crate) fn workers(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.workers.iter()
    }

    /// What all workers have together.
    pub(crate) fn cell(&self) -> Resources {
        self.cell
    }

    /// Whether some worker, were it empty, could hold `need`.
    pub(crate) fn could_hold(&self, need: &Resources) -> bool {
        self.largest.iter().any(|capacity| need.fits(capacity))
    }

    /// The shards of a data centre: its racks.
    pub(crate) fn shards(&self, data_centre: &DataCentreId) -> Vec<ShardSpec> {
        let mut shards: BTreeMap<&ShardId, Vec<(WorkerId, Resources)>> = BTreeMap::new();
        for (id, worker) in self.workers.iter().filter(|(_, w)| w.data_centre == *data_centre) {
            shards.entry(&worker.shard).or_default().push((id.clone(), worker.capacity));
        }
        shards
            .into_iter()
            .map(|(shard, workers)| ShardSpec { shard: shard.clone(), workers })
            .collect()
    }
}

fn index_worker(spec: &v1::WorkerSpec) -> Option<(WorkerId, Worker)> {
    let worker = Worker {
        address: spec.address.parse().ok()?,
        data_centre: DataCentreId::new(&spec.data_centre),
        rack: RackId::new(&spec.rack),
        shard: ShardId::new(format!("{}/{}", spec.data_centre, spec.rack)),
        capacity: convert::capacity(spec),
        connections: u32::try_from(spec.connections).unwrap_or(u32::MAX),
        draining: spec.draining,
    };
    Some((WorkerId::new(&spec.name), worker))
}
