//! Worker names compare and sort like their texts.

use std::collections::BTreeSet;

use lilacpass_jobs::WorkerName;

/// Guards against two leaders that decide differently because one of them does not sort workers by the text of their
/// names.
#[test]
fn worker_names_compare_as_text() {
    lilacpass_fuzz::check::<(String, String)>(2_000, 1 << 5, |(a, b)| {
        let (left, right) = (WorkerName::from(a.as_str()), WorkerName::from(b.as_str()));
        assert_eq!(left.cmp(&right), a.as_str().cmp(b.as_str()), "{a:?} {b:?}");
        assert_eq!(left == right, a == b, "{a:?} {b:?}");
        assert_eq!(left.as_str(), a);
    });
}

#[test]
fn names_with_a_common_prefix_compare_as_text() {
    let texts = ["", "\0", "i", "i-000000", "i-0000001", "i-0000002", "i-00000\0", "i-00000"];
    let names: BTreeSet<WorkerName> = texts.iter().copied().map(WorkerName::from).collect();
    let mut sorted = texts;
    sorted.sort_unstable();
    assert!(names.iter().map(WorkerName::as_str).eq(sorted));
}
