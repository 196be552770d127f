//! One configuration laid over another one: entries are added or replaced, none is removed.

use lilacpass_schema::v1;

/// `base` with each entry of `over` added, or put in the place of the one of its name. The rules
/// are those of `over`, where it has any.
pub fn overlay(base: &v1::Configuration, over: &v1::Configuration) -> v1::Configuration {
    v1::Configuration {
        data_centres: lay(&base.data_centres, &over.data_centres, |entry| &entry.name),
        workers: lay(&base.workers, &over.workers, |entry| &entry.name),
        services: lay(&base.services, &over.services, |entry| &entry.name),
        standing: lay(&base.standing, &over.standing, |entry| &entry.name),
        teams: lay(&base.teams, &over.teams, |entry| &entry.name),
        rules: over.rules.clone().or_else(|| base.rules.clone()),
        tokens: lay(&base.tokens, &over.tokens, |entry| &entry.name),
    }
}

fn lay<T: Clone>(base: &[T], over: &[T], name: impl Fn(&T) -> &String) -> Vec<T> {
    let replacement = |old: &T| over.iter().find(|new| name(new) == name(old));
    let added = over.iter().filter(|new| !base.iter().any(|old| name(old) == name(new)));
    let kept = base.iter().map(|old| replacement(old).unwrap_or(old));
    kept.chain(added).cloned().collect()
}
