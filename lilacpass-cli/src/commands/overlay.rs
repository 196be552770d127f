//! Merging of two configurations: entries are added or replaced, but never removed.

use lilacpass_schema::v1;

/// Merges `overrides` into `base`: its entries are added or replace entries of the same name. If `overrides` has rules,
/// they replace those of `base`.
pub fn overlay(base: &v1::Configuration, overrides: &v1::Configuration) -> v1::Configuration {
    v1::Configuration {
        data_centres: merge_by_name(&base.data_centres, &overrides.data_centres, |entry| {
            &entry.name
        }),
        workers: merge_by_name(&base.workers, &overrides.workers, |entry| &entry.name),
        services: merge_by_name(&base.services, &overrides.services, |entry| &entry.name),
        standing: merge_by_name(&base.standing, &overrides.standing, |entry| &entry.name),
        teams: merge_by_name(&base.teams, &overrides.teams, |entry| &entry.name),
        rules: overrides.rules.clone().or_else(|| base.rules.clone()),
        tokens: merge_by_name(&base.tokens, &overrides.tokens, |entry| &entry.name),
    }
}

fn merge_by_name<T: Clone>(base: &[T], overrides: &[T], name: impl Fn(&T) -> &String) -> Vec<T> {
    let replacement = |old: &T| overrides.iter().find(|new| name(new) == name(old));
    let added = overrides.iter().filter(|new| !base.iter().any(|old| name(old) == name(new)));
    let kept = base.iter().map(|old| replacement(old).unwrap_or(old));
    kept.chain(added).cloned().collect()
}
