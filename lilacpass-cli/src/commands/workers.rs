//! `workers`: lists workers with their capacity, assigned resources, holder and tasks.

use lilacpass_schema::v1;

use crate::{
    api::path,
    args::WorkersArgs,
    commands::{Context, jobs::matches},
    error::{Error, Result},
    report::{self, Report},
    table, units,
};

/// Lists the workers that pass the filters, or shows a single worker with its tasks.
pub async fn run(context: &mut Context, args: &WorkersArgs) -> Result<Report> {
    let response = context.client.get(path::WORKERS).await?;
    let mut list: v1::WorkerList = report::decode(&response)?;
    if let Some(name) = &args.worker {
        let worker = list.workers.iter().find(|worker| worker.name == name.as_str());
        let worker = worker.ok_or_else(|| Error::Usage(format!("there is no worker {name}")))?;
        return Ok(Report::ok(describe(worker), report::encode(worker)));
    }
    list.workers.retain(|worker| {
        matches(args.state.as_deref(), &worker.state)
            && matches(args.data_centre.as_deref(), &worker.data_centre)
    });
    Ok(Report::ok(render(&list.workers), report::encode(&list)))
}

fn render(workers: &[v1::WorkerView]) -> String {
    if workers.is_empty() {
        return "no workers".to_owned();
    }
    let rows = workers.iter().map(|worker| {
        let (given, capacity) = amounts(worker);
        [
            worker.name.clone(),
            worker.data_centre.clone(),
            worker.state.clone(),
            worker.holder.clone(),
            format!("{}/{}", units::format_cores(given.cpu_milli), cores(&capacity)),
            format!("{}/{}", units::format_memory(given.memory_mib), memory(&capacity)),
            format!("{}/{}", given.slots, capacity.slots),
        ]
    });
    let header = ["WORKER", "DATA CENTRE", "STATE", "HOLDER", "CORES", "MEMORY", "SLOTS"];
    table::render(table::terminal_width(), header, rows)
}

/// Formats all details of a worker, one per line.
fn describe(worker: &v1::WorkerView) -> String {
    let (given, capacity) = amounts(worker);
    let mut lines = vec![
        format!("worker   {}", worker.name),
        format!("place    {}, rack {}", worker.data_centre, worker.rack),
        format!("state    {}", worker.state),
        format!("holder   {}, epoch {}", worker.holder, worker.epoch),
        format!("cores    {} given of {}", units::format_cores(given.cpu_milli), cores(&capacity)),
        format!(
            "memory   {} given of {}",
            units::format_memory(given.memory_mib),
            memory(&capacity)
        ),
        format!("accel.   {} given of {}", given.accelerators, capacity.accelerators),
        format!("slots    {} given of {}", given.slots, capacity.slots),
    ];
    if !worker.reason.is_empty() {
        lines.push(format!("reason   {}", worker.reason));
    }
    let task = |t: &v1::WorkerTaskView| format!("task     {} {} of {}", t.task, t.class, t.team);
    lines.extend(worker.tasks.iter().map(task));
    lines.join("\n")
}

/// Returns the amounts that are assigned and that the worker has in total.
fn amounts(worker: &v1::WorkerView) -> (v1::Amount, v1::Amount) {
    (worker.given.unwrap_or_default(), worker.capacity.unwrap_or_default())
}

fn cores(amount: &v1::Amount) -> String {
    units::format_cores(amount.cpu_milli)
}

fn memory(amount: &v1::Amount) -> String {
    units::format_memory(amount.memory_mib)
}
