//! Streams that can't be followed: the log has dropped their beginning, and nothing that it keeps
//! is a snapshot to start from.
//!
//! A member that still follows the stream writes a snapshot, so a short wait is nothing unusual.
//! Where there is no such member the wait has no end, and an operator has to know.
//!
//! Nobody writes an empty snapshot to end it. The records that are gone may tell of work that runs
//! or has run: without them the same key would be accepted again and run a second time, and
//! workers would be held twice.

use std::{collections::BTreeMap, time::Duration};

use lilacpass_core::MonoTime;

use crate::{Control, counters, event::Stream};

/// Time after which a stream counts as stranded. A member that follows it begins a snapshot long
/// before: at most one minute after the last one, and ten seconds for each member ahead of it.
const STRANDED_AFTER: Duration = Duration::from_secs(120);

/// The streams that were read to the tail and not understood, and since when.
#[derive(Debug, Default)]
pub(crate) struct Stranded {
    streams: BTreeMap<Stream, Wait>,
}

#[derive(Debug)]
struct Wait {
    since: MonoTime,
    /// Whether it was told in the log of this process.
    told: bool,
}

impl Control {
    /// Counts the stranded streams, and tells of each once.
    pub(crate) fn watch_stranded(&mut self, now: MonoTime) {
        for (stream, position) in &self.streams.positions {
            // Nobody writes snapshots of the audit trail.
            if *stream == Stream::Audit {
                continue;
            }
            let follower = &position.follower;
            if follower.is_following() {
                self.stranded.streams.remove(stream);
            } else if follower.is_stranded() {
                let wait = Wait { since: now, told: false };
                self.stranded.streams.entry(*stream).or_insert(wait);
            }
        }
        let mut stranded = 0;
        for (stream, wait) in &mut self.stranded.streams {
            if now.since(wait.since) < STRANDED_AFTER {
                continue;
            }
            stranded += 1;
            if !wait.told {
                wait.told = true;
                log::error!(stream:? = stream; "history is lost and no snapshot is left to start from");
            }
        }
        counters::set(&self.counters.streams_stranded, stranded);
    }
}
