//! What the lagging instance list says about members, and when it proves one dead.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lilacpass_core::{
    MonoTime,
    ids::{Incarnation, InstanceId},
};

use crate::{
    options::HoldOptions,
    state::{MemberKey, MemberState},
};

/// An entry instance of the own data centre, as the instance list shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// The instance.
    pub id: InstanceId,
    /// Its start number as the platform counts, which need not be the member's own count.
    pub incarnation: Incarnation,
    /// Whether the platform is about to stop it.
    pub leaving: bool,
}

/// Follows the instance list.
#[derive(Clone, Debug, Default)]
pub struct ListWatch {
    leaving: BTreeSet<InstanceId>,
    seen: BTreeSet<MemberKey>,
    gone_since: BTreeMap<MemberKey, MonoTime>,
    replaced_since: BTreeMap<MemberKey, MonoTime>,
}

impl ListWatch {
    /// Takes in the present list. `members` are all that the history knows.
    pub fn update<'a>(
        &mut self,
        listed: &[ListedInstance],
        members: impl Iterator<Item = (&'a MemberKey, &'a MemberState)>,
        now: MonoTime,
    ) {
        self.leaving = listed.iter().filter(|l| l.leaving).map(|l| l.id.clone()).collect();
        for (key, member) in members {
            if listed.iter().any(|l| shows(l, key, member)) {
                self.seen.insert(key.clone());
                self.gone_since.remove(key);
            } else {
                self.gone_since.entry(key.clone()).or_insert(now);
            }
        }
    }

    /// A newer incarnation of the member was read in the log.
    pub fn replaced(&mut self, key: MemberKey, now: MonoTime) {
        self.replaced_since.entry(key).or_insert(now);
    }

    /// Forgets members that the history no longer knows.
    pub fn retain(&mut self, known: impl Fn(&MemberKey) -> bool) {
        self.seen.retain(|k| known(k));
        self.gone_since.retain(|k, _| known(k));
        self.replaced_since.retain(|k, _| known(k));
    }

    /// Whether the platform is about to stop the instance.
    pub fn is_leaving(&self, id: &InstanceId) -> bool {
        self.leaving.contains(id)
    }

    /// Since when the member is proved dead, where it is.
    ///
    /// It was on the list and no longer is, or a newer incarnation has taken its place, for longer
    /// than the longest pause. One that was never seen on the list may just not be on it yet, so
    /// it gets the list's lag on top. What it gave last, starts under way and grants, lasts a while
    /// longer than itself and is waited for too.
    pub fn dead_from(&self, key: &MemberKey, options: &HoldOptions) -> Option<MonoTime> {
        let waits = options.guards.last_acts_of_dead;
        let last_acts =
            if waits { options.grant.max(options.start_flight) } else { Duration::ZERO };
        let pause = options.with_margin(options.longest_pause + last_acts);
        let lag = if self.seen.contains(key) { pause } else { pause + options.list_lag };
        let gone = self.gone_since.get(key).map(|&since| since + lag);
        let replaced = self.replaced_since.get(key).map(|&since| since + pause);
        gone.into_iter().chain(replaced).min()
    }
}

/// Whether the list shows the member. The platform's start numbers may have nothing to do with the
/// members' own; so a listed name counts for the incarnation that is in the roster, whatever its
/// number. An earlier one is shown only by its very number.
fn shows(listed: &ListedInstance, key: &MemberKey, member: &MemberState) -> bool {
    listed.id == key.id && (member.in_roster || listed.incarnation == key.incarnation)
}
