//! What the instance reads before it is measured, and what its peers write and say.

use lilacpass_control::{Event, event::Stream};
use lilacpass_schema::v1::{self, holding_record, record};

use super::Instance;
use crate::sample;

impl Instance {
    pub(super) fn read_history(&mut self) {
        let around = self.around;
        let configuration = sample::configuration(around.workers, around.held);
        let change = record::Body::Config(sample::first_change(configuration));
        self.read(Stream::Config, vec![change]);
        let near = (0..around.near).map(|n| self.peer_holding(n, true)).collect();
        self.read(Stream::Holding, near);
        let instances = (0..around.near + around.far).map(|n| v1::Instance {
            name: self.peer_name(n),
            data_centre: self.peer_data_centre(n),
            role: v1::InstanceRole::Entry.into(),
            state: v1::InstanceState::Live.into(),
            address: peer_address(n),
            incarnation: 1,
        });
        let instances = instances.collect();
        self.handle(Event::InstanceList(v1::ListInstancesAnswer { instances, version: 1 }));
        self.read_jobs();
    }

    /// Tasks on the held workers come first, then jobs elsewhere.
    fn read_jobs(&mut self) {
        let here = self.around.held * self.around.tasks_each;
        let running = here + self.around.running;
        for n in 0..running + self.around.ended {
            let (worker, holder) = if n < here {
                (sample::own_worker(n / self.around.tasks_each), sample::ME)
            } else {
                (format!("south-1-rack-1-worker-{n}"), "south-1-entry-1")
            };
            let kept = if n < running { 2 } else { 3 };
            let records = sample::job(n, worker, holder).into_iter().take(kept);
            self.read(Stream::Jobs, records.map(record::Body::Job).collect());
        }
    }

    pub(super) fn peer_name(&self, n: usize) -> String {
        format!("{}-entry-{}", self.peer_data_centre(n), n + 1)
    }

    pub(super) fn peer_data_centre(&self, n: usize) -> String {
        let own = n < self.around.near;
        if own { sample::OWN.to_owned() } else { "south-1".to_owned() }
    }

    /// A join or renewal of a peer, which says that it takes no shards: all stay with the instance.
    pub(super) fn peer_holding(&self, n: usize, join: bool) -> record::Body {
        let body = if join {
            holding_record::Body::Join(v1::Join { address: peer_address(n) })
        } else {
            holding_record::Body::Renew(v1::Renew {})
        };
        record::Body::Holding(v1::HoldingRecord {
            member: self.peer_name(n),
            incarnation: 1,
            body: Some(body),
            read_offset: self.next_offset.get(&Stream::Holding).copied().unwrap_or_default(),
            sequence: self.now.0,
            leaving: true,
        })
    }

    pub(super) fn peer_beat(&self, n: usize, grants: Vec<v1::Grant>) -> v1::HeartbeatRequest {
        v1::HeartbeatRequest {
            instance: self.peer_name(n),
            incarnation: 1,
            data_centre: self.peer_data_centre(n),
            address: peer_address(n),
            revision: 1,
            leaving: false,
            log_reachable: true,
            digest: Some(v1::Digest {
                free: Some(sample::amount(4_000_000, 16_000_000, 2_000)),
                largest: Some(sample::amount(32_000, 131_072, 16)),
                queued_urgent: 0,
                wait_ms: 0,
                workers: 290,
            }),
            grants,
            sent_us: self.now.0,
        }
    }
}

fn peer_address(n: usize) -> String {
    format!("10.1.{}.{}:9000", n / 250, n % 250 + 1)
}
