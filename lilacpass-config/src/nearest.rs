//! The known name that is nearest to a mistyped one.

/// Longest name that is compared; a longer one has no near neighbour worth showing.
const MAX_COMPARED_LEN: usize = 64;

/// The name among `known` that differs from `name` in the fewest letters, where it is near enough
/// to be a slip of the keyboard. A name that only lacks its unit is nearest.
pub(crate) fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    if name.len() > MAX_COMPARED_LEN {
        return None;
    }
    let limit = name.chars().count() / 3 + 1;
    known
        .map(|candidate| (distance_but_for_unit(name, candidate), candidate))
        .min()
        .filter(|(letters, _)| *letters <= limit)
        .map(|(_, candidate)| candidate)
}

/// The distance to the known name with or without its unit, such as `_ms`.
fn distance_but_for_unit(name: &str, known: &str) -> usize {
    let without_unit = known.rsplit_once('_').map_or(known, |(stem, _)| stem);
    distance(name, known).min(distance(name, without_unit))
}

/// Edit distance (Levenshtein) in characters.
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
