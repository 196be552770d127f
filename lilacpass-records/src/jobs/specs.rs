//! One copy of the specs that ended jobs have in common.

use std::{collections::HashSet, sync::Arc};

use lilacpass_schema::v1;

/// Fewest shared specs before unused ones are looked for.
const MIN_SWEEP: usize = 1_024;

/// The shared specs. Ended jobs have no payload, so all jobs of a kind tend to have the same.
#[derive(Clone, Debug, Default)]
pub(super) struct Specs {
    shared: HashSet<Arc<v1::JobSpec>>,
    sweep_at: usize,
}

impl Specs {
    /// Drops the payload of the spec of an ended job, and puts the shared copy in its place.
    pub(super) fn share(&mut self, spec: &mut Option<Arc<v1::JobSpec>>) {
        let Some(own) = spec else { return };
        if !own.payload.is_empty() {
            Arc::make_mut(own).payload = String::new();
        }
        if let Some(shared) = self.shared.get(own) {
            *own = Arc::clone(shared);
            return;
        }
        self.sweep();
        self.shared.insert(Arc::clone(own));
    }

    /// Forgets specs that no job has, each time that their number has doubled.
    fn sweep(&mut self) {
        if self.shared.len() < self.sweep_at.max(MIN_SWEEP) {
            return;
        }
        self.shared.retain(|spec| Arc::strong_count(spec) > 1);
        self.sweep_at = self.shared.len() * 2;
    }
}
