//! The table of log lines about a job.

use std::{env, fs};

use lilacpass_jobs::JobKey;
use lilacpass_node::trace;

#[test]
fn lines_of_all_instances_are_shown_in_order_of_time() {
    let folder = env::temp_dir().join(format!("lilacpass-trace-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let job = JobKey(0xabc);
    let late = format!("[2026-12-02T21:28:07.250Z INFO ] task placed task={job}.0.0.0 run=1\n");
    let early =
        format!("[2026-12-02T21:28:07.100Z INFO ] job taken job={job} queue=quick\nnoise\n");
    fs::write(folder.join("b.log"), late).expect("a file");
    fs::write(folder.join("a.log"), early).expect("a file");
    let lines = trace::read(&folder, job).expect("lines");
    fs::remove_dir_all(&folder).expect("removed");
    let table = trace::table(&lines, job);
    let rows: Vec<&str> = table.lines().collect();
    assert_eq!(rows.len(), 2);
    assert_eq!(rows[0], "21:28:07.100      0 a job taken job=JOB queue=quick");
    assert_eq!(rows[1], "21:28:07.250    150 b task placed task=JOB.0.0.0 run=1");
}

#[test]
fn other_lines_are_ignored() {
    assert_eq!(trace::parse("a", "no brackets"), None);
    assert_eq!(trace::parse("a", "[half"), None);
    assert_eq!(trace::parse("a", "[no time] text"), None);
}
