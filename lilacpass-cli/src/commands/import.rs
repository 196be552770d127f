//! `import-csv`: converts the CSV file of an asset register into a configuration file.

use lilacpass_config::inventory;
use lilacpass_schema::v1;

use crate::{
    args::ImportArgs,
    commands::{files, overlay},
    error::Result,
    report::{self, Report},
};

/// Converts the register into a configuration, merged into the file given by `--into` if there is one.
pub fn run(args: &ImportArgs) -> Result<Report> {
    let csv = files::read(&args.file)?;
    let workers = inventory::parse_csv(&csv)
        .map_err(|problems| files::invalid_file(&args.file, &problems))?;
    let base = match &args.into {
        Some(path) => {
            let text = files::read(path)?;
            inventory::parse(&text).map_err(|problems| files::invalid_file(path, &problems))?
        }
        None => v1::Configuration::default(),
    };
    let merged = import(&base, workers, &args.region);
    Ok(Report::ok(files::to_toml(&merged), report::encode(&merged)))
}

/// Merges the workers of a register into `base`, replacing workers of the same name.
///
/// Whether a worker is draining is kept from `base`, because a register does not contain it. A data centre that `base`
/// lacks is added with the given `region`.
pub fn import(
    base: &v1::Configuration,
    workers: Vec<v1::WorkerSpec>,
    region: &str,
) -> v1::Configuration {
    let mut overrides = v1::Configuration::default();
    for mut worker in workers {
        let previous = base.workers.iter().find(|known| known.name == worker.name);
        worker.draining = previous.is_some_and(|known| known.draining);
        let mut known = base.data_centres.iter().chain(&overrides.data_centres);
        if !known.any(|data_centre| data_centre.name == worker.data_centre) {
            let name = worker.data_centre.clone();
            overrides.data_centres.push(v1::DataCentre { name, region: region.to_owned() });
        }
        overrides.workers.push(worker);
    }
    overlay::overlay(base, &overrides)
}
