//! One-line descriptions of the steps of a change, for operators and the audit trail.

use lilacpass_schema::v1::{self, config_op::Op};

use crate::check;

/// Describes in one line what a step does. Hashes of tokens are left out.
pub fn describe_op(op: &v1::ConfigOp) -> String {
    let Some(op) = &op.op else { return "nothing".to_owned() };
    match op {
        Op::Replace(configuration) => describe_replace(configuration),
        Op::UpsertWorker(worker) => format!(
            "set worker {} in {} rack {} at {} with {}",
            worker.name,
            worker.data_centre,
            worker.rack,
            worker.address,
            check::capacity(worker)
        ),
        Op::RemoveWorker(name) => format!("remove worker {name}"),
        Op::DrainWorker(drain) if drain.draining => format!("drain worker {}", drain.worker),
        Op::DrainWorker(drain) => format!("end the drain of worker {}", drain.worker),
        Op::SetRules(_) => "set rules".to_owned(),
        Op::UpsertTeam(team) => {
            let quota = team.quota.as_ref().map(check::amount).unwrap_or_default();
            format!("set team {} with quota {quota}", team.name)
        }
        Op::RemoveTeam(name) => format!("remove team {name}"),
        Op::UpsertService(service) => format!("set service {}", service.name),
        Op::RemoveService(name) => format!("remove service {name}"),
        Op::UpsertStanding(standing) => format!("set standing work {}", standing.name),
        Op::RemoveStanding(name) => format!("remove standing work {name}"),
        Op::UpsertToken(token) => format!("set token {} with role {}", token.name, token.role),
        Op::RemoveToken(name) => format!("remove token {name}"),
        Op::UpsertDataCentre(data_centre) => format!("set data centre {}", data_centre.name),
        Op::RemoveDataCentre(name) => format!("remove data centre {name}"),
    }
}

fn describe_replace(configuration: &v1::Configuration) -> String {
    format!(
        "replace everything: {} data centres, {} workers, {} services, {} teams, {} standing work",
        configuration.data_centres.len(),
        configuration.workers.len(),
        configuration.services.len(),
        configuration.teams.len(),
        configuration.standing.len()
    )
}
