//! The platform's list of live and leaving instances.

use lilacpass_core::{
    MonoTime,
    ids::{Incarnation, InstanceId},
};
use lilacpass_hold::ListedInstance;
use lilacpass_schema::v1;

use crate::{Control, convert};

impl Control {
    /// The instance list was read.
    pub(crate) fn on_instance_list(&mut self, list: &v1::ListInstancesAnswer, now: MonoTime) {
        self.members.listed(list, &self.settings.me.clone(), now);
        let own = self.settings.data_centre.as_str();
        let entries: Vec<ListedInstance> = list
            .instances
            .iter()
            .filter(|instance| {
                instance.role() == v1::InstanceRole::Entry && instance.data_centre == own
            })
            .map(|instance| ListedInstance {
                id: InstanceId::new(&instance.name),
                incarnation: Incarnation(instance.incarnation),
                leaving: instance.state() == v1::InstanceState::Leaving,
            })
            .collect();
        self.holding.set_instances(&entries, now);
        let workers = list.instances.iter().filter(|i| i.role() == v1::InstanceRole::Worker);
        for instance in workers {
            let id = convert::worker_id(&instance.name);
            let leaving = instance.state() == v1::InstanceState::Leaving;
            if let Some(held) = self.held.get_mut(&id) {
                held.listed_leaving = leaving;
                let leaving = (leaving || held.leaving) && self.settings.guards.leaving;
                self.scheduler.pool.set_leaving(&id, leaving);
            }
        }
    }
}
