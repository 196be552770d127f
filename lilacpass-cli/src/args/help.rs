//! Texts that stand at the end of `--help`.

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

/// What the exit codes mean.
pub(super) const EXIT_CODES: &str = exit_codes!();

/// Exit codes and examples.
pub(super) const EXAMPLES: &str = concat!(
    exit_codes!(),
    "\n\n\
A call goes on to the next --server only where it had no effect for certain, or where repeating it
does no harm: questions, cancellations, jobs (their idempotency key stays the same) and idempotent
quick requests.

Examples:
  # The state of the cell, from whichever entry instance answers
  lilacpass --server http://10.0.0.1:7070 --server http://10.0.0.2:7070 status

  # A quick page check, answered within two seconds or not at all
  lilacpass submit --wait-answer --team shops --service auditdienst --kind page-check \\
      --idempotent --deadline 2s --payload https://example.org/

  # A crawl audit over night, never twice; then wait for its end
  lilacpass submit --team shops --service auditdienst --kind crawl --key crawl-2026-12-02 \\
      --cpu 2 --memory 4GiB --run 2h --payload @sites.txt
  lilacpass wait 0123456789abcdef0123456789abcdef

  # Change the configuration: export it, edit it, look, then put it in force
  lilacpass inventory > cell.toml
  lilacpass diff cell.toml
  lilacpass apply cell.toml --dry-run
  lilacpass apply cell.toml --reason 'new rack in hal-b'

  # Take a worker out of service, and back
  lilacpass drain hal-a-r1-w3 --reason 'disk swap'
  lilacpass drain hal-a-r1-w3 --undo

  # Who was refused during the last day, for a script
  lilacpass audit --refused --since 1d --output json"
);
