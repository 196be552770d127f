//! A limit on refused tries, per address that they come from.

use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr},
};

use lilacpass_core::MonoTime;

/// Refused tries that an address may make at once.
const BURST: f64 = 10.0;

/// Refused tries per second that an address may make for long.
const PER_SECOND: f64 = 1.0;

/// Addresses that are remembered.
const MAX_ORIGINS: usize = 10_000;

/// Remembers refused tries.
///
/// Guards against guessing of tokens, whose check costs processor time, and against an audit
/// trail that is flooded with refused tries. Tries beyond the limit are refused unseen.
#[derive(Debug, Default)]
pub struct RefusalLimit {
    buckets: HashMap<IpAddr, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    left: f64,
    at: MonoTime,
}

impl Bucket {
    fn refill(&mut self, now: MonoTime) {
        let gained = now.since(self.at).as_secs_f64() * PER_SECOND;
        self.left = (self.left + gained).min(BURST);
        self.at = now;
    }
}

impl RefusalLimit {
    /// Whether `origin` may have another try refused at `now`.
    pub fn allows(&mut self, origin: IpAddr, now: MonoTime) -> bool {
        self.bucket(origin, now).left >= 1.0
    }

    /// Notes a refused try. Gives whether it was within the limit.
    pub fn note(&mut self, origin: IpAddr, now: MonoTime) -> bool {
        let bucket = self.bucket(origin, now);
        let within = bucket.left >= 1.0;
        bucket.left = (bucket.left - 1.0).max(0.0);
        within
    }

    fn bucket(&mut self, origin: IpAddr, now: MonoTime) -> &mut Bucket {
        let known = self.buckets.contains_key(&origin);
        if !known && self.buckets.len() >= MAX_ORIGINS {
            self.forget_full(now);
        }
        // Where even that frees nothing, all new addresses share one bucket.
        let shared = !known && self.buckets.len() >= MAX_ORIGINS;
        let key = if shared { IpAddr::V4(Ipv4Addr::UNSPECIFIED) } else { origin };
        let bucket = self.buckets.entry(key).or_insert(Bucket { left: BURST, at: now });
        bucket.refill(now);
        bucket
    }

    fn forget_full(&mut self, now: MonoTime) {
        self.buckets.retain(|_, bucket| {
            bucket.refill(now);
            bucket.left < BURST
        });
    }
}
