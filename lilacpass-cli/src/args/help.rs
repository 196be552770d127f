//! Texts at the end of the `--help` output.

macro_rules! exit_codes {
    () => {
        "\
Exit codes:
  0  done; work ran and succeeded
  2  the command line or a file is wrong; nothing was sent
  3  not run: proved not to have run, or refused without effect
  4  may have run: nothing proves that it did not; or it still goes on
  5  it ran to its end, with an error
  6  conflict: another change won the race for the same revision
  7  no server could be reached, or none answered a question that changes nothing"
    };
}

/// Explanation of the exit codes.
pub(super) const EXIT_CODES: &str = exit_codes!();

/// Exit codes and examples.
pub(super) const EXAMPLES: &str = concat!(
    exit_codes!(),
    "\n\n\
A request is sent to the next --server only if it is certain to have had no effect, or if repeating
it is safe: read-only requests, cancellations, job submissions (with the same idempotency key) and
idempotent quick requests.

Examples:
  # Show the state of the cell, from the first entry instance that responds
  lilacpass --server http://10.0.0.1:7070 --server http://10.0.0.2:7070 status

  # Run a quick page check with a deadline of two seconds
  lilacpass submit --wait-answer --team shops --service auditdienst --kind page-check \\
      --idempotent --deadline 2s --payload https://example.org/

  # Submit a crawl audit that is never run twice, then wait until it has ended
  lilacpass submit --team shops --service auditdienst --kind crawl --key crawl-2026-12-02 \\
      --cpu 2 --memory 4GiB --run 2h --payload @sites.txt
  lilacpass wait 0123456789abcdef0123456789abcdef

  # Change the configuration: export it, edit it, review the difference, then apply it
  lilacpass inventory > cell.toml
  lilacpass diff cell.toml
  lilacpass apply cell.toml --dry-run
  lilacpass apply cell.toml --reason 'new rack in hal-b'

  # Take a worker out of service and put it back
  lilacpass drain hal-a-r1-w3 --reason 'disk swap'
  lilacpass drain hal-a-r1-w3 --undo

  # List the requests that were refused during the last day as JSON
  lilacpass audit --refused --since 1d --output json"
);
