//! The `lilacpass` program: parses the command line, runs the command and prints its result.

use std::{
    io::{self, ErrorKind},
    process::ExitCode,
    time::{SystemTime, UNIX_EPOCH},
};

use clap::Parser;
use lilacpass_cli::{
    args::Cli,
    commands,
    error::Error,
    exit::Exit,
    report::{self, Format, Report},
    units,
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    let format = cli.global.output;
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let report = match commands::run(cli, units::ms(since_1970)).await {
        Ok(report) => report,
        Err(err) => report_error(&err, format),
    };
    print(&report, format).into()
}

/// Prints a report. A closed pipe, for example by `head`, is not an error.
fn print(report: &Report, format: Format) -> Exit {
    match report.write(format, &mut io::stdout().lock()) {
        Ok(()) => report.exit,
        Err(err) if err.kind() == ErrorKind::BrokenPipe => report.exit,
        Err(err) => {
            eprintln!("lilacpass: can't write the result: {err}");
            report.exit.max(Exit::Usage)
        }
    }
}

/// Converts an error to a report. In human format, the error is printed to standard error here and the report has no
/// text; in JSON format, the report is the problem document, which scripts read from standard output.
fn report_error(err: &Error, format: Format) -> Report {
    if format == Format::Human {
        eprintln!("lilacpass: {err}");
    }
    Report { human: String::new(), json: report::error_json(err), exit: err.exit() }
}
