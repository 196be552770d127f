//! Suggests the known name that is closest to a mistyped one.

/// Maximum length in bytes of a name for which a suggestion is searched. Longer names are not plausible typing errors.
const MAX_COMPARED_LEN: usize = 64;

/// Returns the name among `known` with the smallest edit distance to `name`, if it is close enough to be a typing
/// error. A missing unit suffix does not count as a difference.
pub(crate) fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    if name.len() > MAX_COMPARED_LEN {
        return None;
    }
    let limit = name.chars().count() / 3 + 1;
    known
        .map(|candidate| (distance_ignoring_unit(name, candidate), candidate))
        .min()
        .filter(|(distance, _)| *distance <= limit)
        .map(|(_, candidate)| candidate)
}

/// Returns the smaller of the distances to the known name with and without its unit suffix, such as `_ms`.
fn distance_ignoring_unit(name: &str, known: &str) -> usize {
    let without_unit = known.rsplit_once('_').map_or(known, |(stem, _)| stem);
    distance(name, known).min(distance(name, without_unit))
}

/// Returns the Levenshtein distance between two names, in characters.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, from) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(from != *to);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
