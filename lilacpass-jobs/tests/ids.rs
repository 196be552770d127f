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
        assert_eq!(left.id(), a);
    });
}

#[test]
fn names_with_a_common_prefix_compare_as_text() {
    let texts = ["", "\0", "i", "i-000000", "i-0000001", "i-0000002", "i-00000\0", "i-00000"];
    let names: BTreeSet<WorkerName> = texts.iter().copied().map(WorkerName::from).collect();
    let mut sorted = texts;
    sorted.sort_unstable();
    assert!(names.iter().map(WorkerName::id).eq(sorted));
}

/// Guards against taking the state of one incarnation of a worker for that of another.
#[test]
fn incarnations_of_a_worker_have_names_of_their_own() {
    let name = |started_ms| WorkerName::new("i-1", started_ms);
    let names = [name(None), name(Some(1)), name(Some(2)), WorkerName::new("i-10", Some(0))];
    assert!(names.is_sorted(), "incarnations of one worker stand together");
    assert!(names.windows(2).all(|pair| pair[0] != pair[1]));
    assert!(names[..3].iter().all(|other| other.has_same_id(&names[0])));
    assert!(!names[3].has_same_id(&names[0]));
    assert_eq!(names[2].to_string(), "i-1@2");
    assert_eq!(names[0].with_start(Some(2)), names[2]);
}
