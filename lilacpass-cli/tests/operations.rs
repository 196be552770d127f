//! Checks that the operators' page agrees with the code.

mod support;

use lilacpass_cli::Exit;
use lilacpass_config::settings;

fn page() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/OPERATIONS.md");
    std::fs::read_to_string(path).unwrap()
}

#[test]
fn the_page_lists_every_setting_with_unit_default_and_range() {
    let row = |field: &settings::FieldDoc| {
        let default = if field.default.is_empty() { "" } else { &format!("`{}`", field.default) };
        let cells = [&format!("`{}`", field.path), field.unit, default, &field.allowed, field.doc];
        format!("| {} |\n", cells.join(" | "))
    };
    let table: String = settings::describe().iter().map(row).collect();
    assert!(page().contains(&table), "the table should read:\n{table}");
}

#[test]
fn the_page_and_the_help_give_the_same_exit_codes() {
    let help = support::lilacpass(&[], "--help").stdout;
    let all = [
        Exit::Ok,
        Exit::Usage,
        Exit::NotRun,
        Exit::MayHaveRun,
        Exit::Failed,
        Exit::Conflict,
        Exit::Unreachable,
    ];
    for exit in all {
        let start = format!("  {}  ", exit.code());
        let line = help.lines().find_map(|line| line.strip_prefix(&start)).unwrap();
        assert!(page().contains(&format!("| {} | {line} |", exit.code())), "{line}");
    }
}
