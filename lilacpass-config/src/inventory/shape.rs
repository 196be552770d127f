//! The keys and value types of a configuration in TOML, which mirror the messages of `config.proto`.

use crate::shape::{Member, flag, table, tables, text, texts, whole, whole_u32};

/// Returns the members of the top-level table.
pub(super) fn configuration() -> Vec<Member> {
    vec![
        tables("data_centres", vec![text("name"), text("region")]),
        tables("workers", worker()),
        tables("services", service()),
        tables("standing", vec![text("name"), table("spec", job_spec())]),
        tables("teams", team()),
        table("rules", rules()),
        tables("tokens", token()),
    ]
}

fn worker() -> Vec<Member> {
    vec![
        text("name"),
        text("data_centre"),
        text("rack"),
        text("address"),
        whole("cpu_milli"),
        whole("memory_mib"),
        whole("accelerators"),
        whole("slots"),
        whole("connections"),
        flag("draining"),
    ]
}

fn service() -> Vec<Member> {
    vec![
        text("name"),
        table("default_each", amount()),
        whole("default_deadline_ms"),
        texts("non_idempotent_kinds"),
    ]
}

fn job_spec() -> Vec<Member> {
    vec![
        text("team"),
        text("account"),
        text("service"),
        text("kind"),
        text("class"),
        whole_u32("tasks"),
        table("each", amount()),
        whole("run_ms"),
        flag("idempotent"),
        flag("checkpointable"),
        flag("standing"),
        text("data_centre"),
        text("payload"),
    ]
}

fn team() -> Vec<Member> {
    vec![text("name"), table("quota", amount()), flag("may_borrow"), whole("rate_limit_per_s")]
}

fn rules() -> Vec<Member> {
    vec![
        tables("accounts", vec![text("team"), text("account"), whole_u32("priority")]),
        whole_u32("urgent_reserve_permille"),
        whole("batch_aging_s"),
        flag("preempt_non_idempotent"),
        whole_u32("quarantine_cap_permille"),
        whole_u32("max_attempts"),
    ]
}

fn token() -> Vec<Member> {
    vec![text("name"), text("role"), text("team"), text("hash"), whole("expires_unix_s")]
}

fn amount() -> Vec<Member> {
    vec![whole("cpu_milli"), whole("memory_mib"), whole("accelerators"), whole("slots")]
}
