//! Imports workers from the CSV export of an asset register.

use lilacpass_core::resources::Resources;
use lilacpass_schema::v1;

use crate::{
    check::{self, Scope},
    nearest,
    problem::{self, Problem},
};

/// The required columns. They may appear in any order.
const COLUMNS: [&str; 9] = [
    "name",
    "data_centre",
    "rack",
    "address",
    "cores",
    "memory_gib",
    "accelerators",
    "slots",
    "connections",
];
const MILLI_PER_CORE: u64 = 1_000;
const MIB_PER_GIB: u64 = 1_024;

/// Parses workers from CSV text with a header row. All problems are reported together.
///
/// This does not check whether the data centres exist, since the text does not list them; that is checked once the
/// workers are part of a configuration.
pub fn parse_csv(text: &str) -> Result<Vec<v1::WorkerSpec>, Vec<Problem>> {
    let mut reader = csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(text.as_bytes());
    let header = reader.headers().map_err(|err| vec![syntax_problem(&err)])?.clone();
    let columns = Columns::find(&header)?;
    let mut rows = Rows::default();
    for record in reader.records() {
        match record {
            Ok(record) => rows.add(&columns, &record),
            Err(err) => rows.problems.push(syntax_problem(&err)),
        }
    }
    rows.check();
    problem::ok_if_none(rows.problems, rows.workers)
}

/// Positions of the columns in the text.
struct Columns {
    /// Position of each column, in the order of [`COLUMNS`].
    positions: [usize; COLUMNS.len()],
}

impl Columns {
    /// Locates the columns in the header row. Reports unknown, duplicate and missing ones.
    fn find(header: &csv::StringRecord) -> Result<Self, Vec<Problem>> {
        let mut problems = Vec::new();
        for (i, column) in header.iter().enumerate() {
            if !COLUMNS.contains(&column) {
                let hint = nearest::nearest(column, COLUMNS.into_iter());
                let hint = hint.map(|known| format!("; did you mean `{known}`?"));
                let message = format!("unknown column{}", hint.unwrap_or_default());
                problems.push(Problem::new(column, message));
            } else if header.iter().take(i).any(|earlier| earlier == column) {
                problems.push(Problem::new(column, "stands twice"));
            }
        }
        let positions = COLUMNS.map(|required| {
            header.iter().position(|column| column == required).unwrap_or_else(|| {
                problems.push(Problem::new(required, "column is missing"));
                0
            })
        });
        let problems = problems.into_iter().map(|p| p.with_allowed(COLUMNS.join(",")).at((1, 0)));
        problem::ok_if_none(problems.collect(), Self { positions })
    }

    /// Returns the value of a column in a row.
    fn value<'r>(&self, record: &'r csv::StringRecord, column: &str) -> &'r str {
        let index = COLUMNS.iter().position(|known| *known == column);
        index.and_then(|i| record.get(self.positions[i])).unwrap_or_default()
    }
}

/// The workers read so far and the problems found in them.
#[derive(Default)]
struct Rows {
    workers: Vec<v1::WorkerSpec>,
    /// Line number of each worker, in the order of `workers`.
    lines: Vec<usize>,
    problems: Vec<Problem>,
}

impl Rows {
    /// Adds the worker of one row.
    fn add(&mut self, columns: &Columns, record: &csv::StringRecord) {
        let line = record.position().map_or(0, |p| usize::try_from(p.line()).unwrap_or(usize::MAX));
        let text = |column| columns.value(record, column).to_owned();
        let mut number = |column: &str| {
            let value = columns.value(record, column);
            value.parse::<u64>().unwrap_or_else(|_| {
                let problem = Problem::new(column, "must be a whole number");
                let problem = problem.with_value(format_args!("{value:?}"));
                self.problems.push(problem.at((line, 0)));
                // A placeholder that passes the later checks, so that one value causes only one problem.
                1
            })
        };
        let size = Resources::new(
            number("cores").saturating_mul(MILLI_PER_CORE),
            number("memory_gib").saturating_mul(MIB_PER_GIB),
            number("accelerators"),
            number("slots"),
        );
        let connections = number("connections");
        self.lines.push(line);
        self.workers.push(v1::WorkerSpec {
            name: text("name"),
            data_centre: text("data_centre"),
            rack: text("rack"),
            address: text("address"),
            cpu_milli: size.cpu.0,
            memory_mib: size.memory.0,
            accelerators: size.accelerators.0,
            slots: size.slots.0,
            connections,
            draining: false,
        });
    }

    /// Checks the workers as part of a configuration that contains all their data centres.
    fn check(&mut self) {
        let data_centre = |w: &v1::WorkerSpec| v1::DataCentre {
            name: w.data_centre.clone(),
            region: String::new(),
        };
        let configuration = v1::Configuration {
            data_centres: self.workers.iter().map(data_centre).collect(),
            workers: self.workers.clone(),
            ..v1::Configuration::default()
        };
        let scope = Scope { data_centres: check::Entries::default(), ..Scope::all() };
        for finding in check::findings(&configuration, &scope) {
            let line = row_of(&finding.path).and_then(|row| self.lines.get(row)).copied();
            self.problems.push(finding.problem.at((line.unwrap_or_default(), 0)));
        }
    }
}

/// Returns the index of the row from a path such as `workers[3].address`.
fn row_of(path: &str) -> Option<usize> {
    let (_, rest) = path.split_once('[')?;
    rest.split_once(']')?.0.parse().ok()
}

/// Converts an error of the CSV parser to a problem.
fn syntax_problem(err: &csv::Error) -> Problem {
    let line = err.position().map_or(0, |p| usize::try_from(p.line()).unwrap_or(usize::MAX));
    let message = match err.kind() {
        csv::ErrorKind::UnequalLengths { expected_len, len, .. } => {
            format!("has {len} values, the header has {expected_len}")
        }
        csv::ErrorKind::Utf8 { .. } => "is not UTF-8".to_owned(),
        _ => "is not valid CSV".to_owned(),
    };
    Problem::new("", message).at((line, 0))
}
