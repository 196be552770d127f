//! The fold of the holding stream, and the tick on it.

use lilacpass_core::{
    MonoTime, Resources,
    ids::{Incarnation, InstanceId, Offset, ShardId, WorkerId},
};
use lilacpass_hold::{FoldOutcome, HoldOptions, Holding, ListedInstance, ShardSpec};
use lilacpass_records::codec;
use lilacpass_schema::v1::{self, holding_record::Body, record};

use crate::{cost, fit, fit::Series, sample};

const MEMBERS: [usize; 4] = [3, 8, 32, 64];
const SHARDS: [usize; 3] = [6, 290, 767];
const PER_SHARD: usize = 4;
const REPEATS: usize = 20_000;
const FEW: usize = 500;

/// A data centre whose members have joined and divided the shards.
struct Cell {
    holding: Holding,
    members: usize,
    shards: usize,
    next: u64,
    now: MonoTime,
    sequences: Vec<u64>,
    epochs: Vec<u64>,
}

fn name(member: usize) -> String {
    format!("{}-entry-{member}", sample::OWN)
}

fn shard(n: usize) -> ShardId {
    ShardId::new(format!("{}/rack-{n}", sample::OWN))
}

impl Cell {
    fn new(members: usize, shards: usize) -> Self {
        let now = MonoTime::from_ms(1_000_000);
        let me = InstanceId::new(name(0));
        let mut holding = Holding::new(me, Incarnation(1), HoldOptions::default(), now);
        let workers = |n: usize| {
            let worker = |w: usize| {
                let id = WorkerId::new(format!("{}-worker-{w}", shard(n)));
                (id, Resources::new(32_000, 131_072, 2, 16))
            };
            (0..PER_SHARD).map(worker).collect()
        };
        let specs =
            (0..shards).map(|n| ShardSpec { shard: shard(n), workers: workers(n) }).collect();
        holding.set_shards(specs, now);
        let listed: Vec<ListedInstance> = (0..members)
            .map(|n| ListedInstance {
                id: InstanceId::new(name(n)),
                incarnation: Incarnation(1),
                leaving: false,
            })
            .collect();
        holding.set_instances(&listed, now);
        let mut cell = Self {
            holding,
            members,
            shards,
            next: 0,
            now,
            sequences: vec![0; members],
            epochs: vec![0; shards],
        };
        for member in 0..members {
            let address = format!("10.0.0.{}:9000", member + 1);
            cell.fold(member, Body::Join(v1::Join { address }));
        }
        for n in 0..shards {
            cell.claim(n);
        }
        cell
    }

    fn record(&mut self, member: usize, body: Body) -> v1::HoldingRecord {
        self.sequences[member] += 1;
        v1::HoldingRecord {
            member: name(member),
            incarnation: 1,
            body: Some(body),
            read_offset: self.next,
            sequence: self.sequences[member],
            leaving: false,
        }
    }

    fn fold(&mut self, member: usize, body: Body) {
        let record = self.record(member, body);
        let outcome = self.holding.fold(Offset(self.next), &record, self.now, self.now);
        assert_eq!(outcome, FoldOutcome::Applied, "{record:?}");
        self.next += 1;
        self.holding.at_tail(Offset(self.next), self.now, self.now);
    }

    fn holder(&self, n: usize) -> usize {
        n % self.members
    }

    fn claim(&mut self, n: usize) {
        self.epochs[n] += 1;
        let epoch = self.epochs[n];
        let claim = v1::Claim { shard: shard(n).to_string(), epoch, ..Default::default() };
        self.fold(self.holder(n), Body::Claim(claim));
    }

    fn release(&mut self, n: usize) {
        let epoch = self.epochs[n];
        let release = v1::Release { shard: shard(n).to_string(), epoch };
        self.fold(self.holder(n), Body::Release(release));
    }

    /// Microseconds for one renewal that is read.
    fn renewal(&mut self) -> f64 {
        let (spent, ()) = cost::time(|| {
            for n in 0..REPEATS {
                self.fold(n % self.members, Body::Renew(v1::Renew {}));
            }
        });
        cost::us_each(spent, REPEATS)
    }

    /// Microseconds for one change of a holder that is read: a release or a claim.
    fn change(&mut self) -> f64 {
        let (spent, ()) = cost::time(|| {
            for n in 0..FEW {
                let n = n % self.shards;
                self.release(n);
                self.claim(n);
            }
        });
        cost::us_each(spent, 2 * FEW)
    }

    /// Microseconds for one tick in which all is looked at.
    fn tick(&mut self) -> f64 {
        let (spent, ()) = cost::time(|| {
            for _ in 0..FEW {
                self.holding.set_instances(&[], self.now);
                std::hint::black_box(self.holding.tick(self.now));
            }
        });
        cost::us_each(spent, FEW)
    }

    /// Microseconds for the limit of one worker that is held.
    fn limit(&self) -> f64 {
        let worker = WorkerId::new(format!("{}-worker-0", shard(0)));
        let (spent, ()) = cost::time(|| {
            for _ in 0..REPEATS {
                std::hint::black_box(self.holding.limit(&worker, self.now));
            }
        });
        cost::us_each(spent, REPEATS)
    }
}

pub(crate) fn run() {
    fit::head("Holding");
    for shards in SHARDS {
        let what = |what: &str| format!("{what}, {shards} shards");
        let mut renewal = Series::new(&what("renewal read"), "us", "members");
        let mut change = Series::new(&what("claim or release read"), "us", "members");
        let mut tick = Series::new(&what("tick with news"), "us", "members");
        let mut limit = Series::new(&what("limit of a worker"), "us", "members");
        for members in MEMBERS {
            let mut cell = Cell::new(members, shards);
            renewal.add(members, cost::least(|| cell.renewal()));
            change.add(members, cost::least(|| cell.change()));
            tick.add(members, cost::least(|| cell.tick()));
            limit.add(members, cost::least(|| cell.limit()));
        }
        renewal.print();
        change.print();
        tick.print();
        limit.print();
    }
    let mut over_shards = Series::new("claim or release read, 8 members", "us", "shards");
    let mut snapshot = Series::new("snapshot of holding, 8 members", "bytes", "shards");
    let mut memory = Series::new("memory of holding, 8 members", "KB", "shards");
    for shards in SHARDS {
        let mut cell = Cell::new(8, shards);
        over_shards.add(shards, cost::least(|| cell.change()));
        let body = v1::snapshot::Body::Holding(cell.holding.snapshot());
        let part = v1::Snapshot { body: Some(body), ..Default::default() };
        let bytes = codec::encode(&sample::record(1, record::Body::Snapshot(part))).len();
        snapshot.add(shards, bytes as f64);
        memory.add(shards, copies(&cell) / 1e3);
    }
    over_shards.print();
    snapshot.print();
    memory.print();
}

/// Bytes of one cell's state, by the growth of the process over many copies.
fn copies(cell: &Cell) -> f64 {
    const COPIES: usize = 200;
    let before = cost::resident();
    let copies: Vec<Holding> = (0..COPIES).map(|_| cell.holding.clone()).collect();
    let after = cost::resident();
    drop(copies);
    after.saturating_sub(before) as f64 / COPIES as f64
}
