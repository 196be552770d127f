//! The two deployments that lilacpass is made for: places, workers, services and teams.

use lilacpass_schema::v1;

const SLOTS: u64 = 8;
const CONNECTIONS: u64 = 64;
/// One worker in this many has accelerators.
const ACCELERATOR_EVERY: usize = 12;
const ACCELERATORS: u64 = 2;

/// One deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Short name.
    pub name: &'static str,
    /// Region of its data centres.
    pub region: &'static str,
    /// Its data centres.
    pub data_centres: [&'static str; 3],
    /// Number of workers.
    pub workers: usize,
    /// Workers of a rack.
    pub rack_workers: usize,
    /// Size that its tasks declare.
    pub task_size: v1::Amount,
    /// Processors of a worker, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory of a worker, in mebibytes.
    pub memory_mib: u64,
    /// Its service.
    pub service: &'static str,
    /// Its team.
    pub team: &'static str,
    /// Account that goes first once the rule is set.
    pub first_account: &'static str,
    /// Kind of its quick requests.
    pub quick_kind: &'static str,
    /// Kind of its long work, which must never repeat.
    pub long_kind: &'static str,
    /// Kind of work whose tasks are needed all at once.
    pub gang_kind: &'static str,
    /// Kind of its standing work.
    pub watcher_kind: &'static str,
    /// Kind of a quick request that must never repeat.
    pub alert_kind: &'static str,
}

/// Site audits for small shops.
pub const VINDBAAR: Deployment = Deployment {
    name: "vindbaar",
    region: "nl-midden",
    data_centres: ["hal-a", "hal-b", "hal-c"],
    workers: 48,
    rack_workers: 8,
    task_size: TASK_SIZE,
    cpu_milli: 64_000,
    memory_mib: 262_144,
    service: "auditdienst",
    team: "audits",
    first_account: "bakery-chain",
    quick_kind: "page-check",
    long_kind: "crawl-audit",
    gang_kind: "site-compare",
    watcher_kind: "keyword-watcher",
    alert_kind: "mail-report",
};

/// Part matching for brokers.
pub const SWANFIELD: Deployment = Deployment {
    name: "swanfield",
    region: "wa-perth",
    data_centres: ["perth-north", "perth-east", "perth-south"],
    workers: 48,
    rack_workers: 8,
    task_size: TASK_SIZE,
    cpu_milli: 32_000,
    memory_mib: 131_072,
    service: "match-svc",
    team: "brokers",
    first_account: "new-account",
    quick_kind: "stock-lookup",
    long_kind: "obsolescence-sweep",
    gang_kind: "alternates-rebuild",
    watcher_kind: "chip-watcher",
    alert_kind: "allocation-alert",
};

impl Deployment {
    /// Data centre of the entry instance or rack with this number.
    pub fn data_centre(&self, index: usize) -> &'static str {
        self.data_centres[index % self.data_centres.len()]
    }

    /// The workers, without addresses. Racks go to the data centres in turn.
    pub fn worker_specs(&self) -> Vec<v1::WorkerSpec> {
        (0..self.workers).map(|index| self.worker_spec(index)).collect()
    }

    /// The first configuration, with the workers given.
    pub fn configuration(
        &self,
        workers: Vec<v1::WorkerSpec>,
        tokens: Vec<v1::AccessToken>,
    ) -> v1::Configuration {
        let data_centre = |name: &&str| v1::DataCentre {
            name: (*name).to_owned(),
            region: self.region.to_owned(),
        };
        let service = v1::ServiceSpec {
            name: self.service.to_owned(),
            default_each: Some(self.task_size),
            default_deadline_ms: 2000,
            non_idempotent_kinds: vec![self.long_kind.to_owned(), self.alert_kind.to_owned()],
        };
        let team = v1::Team { name: self.team.to_owned(), may_borrow: true, ..Default::default() };
        v1::Configuration {
            data_centres: self.data_centres.iter().map(data_centre).collect(),
            workers,
            services: vec![service],
            teams: vec![team],
            rules: Some(v1::Rules::default()),
            tokens,
            ..Default::default()
        }
    }

    /// A quick request that may run more than once.
    pub fn quick(&self, payload: &str) -> v1::JobSpec {
        v1::JobSpec { idempotent: true, ..self.job(self.quick_kind, "urgent", payload) }
    }

    /// A quick request that must run at most once.
    pub fn alert(&self, payload: &str) -> v1::JobSpec {
        self.job(self.alert_kind, "urgent", payload)
    }

    /// Long work that must run exactly once.
    pub fn long(&self, payload: &str) -> v1::JobSpec {
        self.job(self.long_kind, "batch", payload)
    }

    /// Work of many tasks at once.
    pub fn gang(&self, tasks: u32, payload: &str) -> v1::JobSpec {
        v1::JobSpec { tasks, idempotent: true, ..self.job(self.gang_kind, "batch", payload) }
    }

    /// Standing work.
    pub fn watcher(&self, payload: &str) -> v1::JobSpec {
        v1::JobSpec {
            standing: true,
            idempotent: true,
            ..self.job(self.watcher_kind, "standing", payload)
        }
    }

    fn job(&self, kind: &str, class: &str, payload: &str) -> v1::JobSpec {
        v1::JobSpec {
            team: self.team.to_owned(),
            service: self.service.to_owned(),
            kind: kind.to_owned(),
            class: class.to_owned(),
            tasks: 1,
            each: Some(self.task_size),
            payload: payload.to_owned(),
            ..Default::default()
        }
    }

    fn worker_spec(&self, index: usize) -> v1::WorkerSpec {
        let rack = index / self.rack_workers;
        let data_centre = self.data_centre(rack);
        let accelerators = match index % ACCELERATOR_EVERY {
            0 => ACCELERATORS,
            _ => 0,
        };
        v1::WorkerSpec {
            name: format!("{data_centre}-r{}-w{}", rack + 1, index % self.rack_workers + 1),
            data_centre: data_centre.to_owned(),
            rack: format!("{data_centre}-r{}", rack + 1),
            address: String::new(),
            cpu_milli: self.cpu_milli,
            memory_mib: self.memory_mib,
            accelerators,
            slots: SLOTS,
            connections: CONNECTIONS,
            draining: false,
        }
    }
}

/// Size that most tasks declare.
pub const TASK_SIZE: v1::Amount =
    v1::Amount { cpu_milli: 2000, memory_mib: 4096, accelerators: 0, slots: 1 };
