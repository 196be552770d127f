//! Following a stream, starting from snapshots, and writing them.

mod common;

use std::time::Duration;

use common::stream::{Member, NOW, Stream, ids};
use lilacpass_core::ids::{InstanceId, Offset};
use lilacpass_records::{Schedule, ScheduleOptions, positions, snapshots};
use lilacpass_schema::v1::{self, record::Body};

#[test]
fn a_member_that_starts_late_restores_and_folds_the_tail() {
    let mut stream = Stream::with_jobs(3);
    let mut writer = Member::new();
    assert_eq!(writer.read(&stream), (false, None));
    let parts = writer.snapshot("s1");
    stream.job(3);
    stream.push_all(parts);
    stream.job(4);
    stream.oldest = 2;
    let mut late = Member::new();
    let lost = positions::Lost { from: Offset(0), to: Offset(2) };
    assert_eq!(late.read(&stream), (true, Some(lost)));
    writer.read(&stream);
    assert!(late.follower.is_at_tail());
    assert_eq!((ids(&late), late.jobs.len()), (ids(&writer), 5));
}

/// Two members write a snapshot at once, their parts in turns, and the first one dies before its
/// last part. A member that joined parts of both would miss jobs or hold some twice.
#[test]
fn a_snapshot_torn_by_a_second_writer_is_passed_over() {
    let mut stream = Stream::with_jobs(4);
    let mut writer = Member::new();
    writer.read(&stream);
    let torn = writer.snapshot("s1");
    let unfinished = torn.len() - 1;
    stream.job(4);
    writer.read(&stream);
    let whole = writer.snapshot("s2");
    for (at, part) in whole.into_iter().enumerate() {
        if at < unfinished {
            stream.push(torn[at].clone());
        }
        stream.push(part.clone());
        stream.push(part);
    }
    stream.oldest = 1;
    let mut late = Member::new();
    assert!(late.read(&stream).0);
    assert_eq!((ids(&late), late.jobs.waiting_len()), (ids(&writer), 5));
}

/// The parts do not say how many there are until the last one, which is lost, and then comes in
/// a second copy behind a part of a number that can't be. Only a snapshot without such may count.
#[test]
fn a_snapshot_of_unknown_length_counts_once_its_last_part_is_read() {
    let mut stream = Stream::with_jobs(3);
    let mut writer = Member::new();
    writer.read(&stream);
    let mut parts = writer.snapshot_in_pieces("s1");
    let mut beyond = writer.snapshot_in_pieces("s2");
    let last = parts.pop().unwrap();
    let Body::Snapshot(known) = &last else { unreachable!() };
    assert_eq!(known.parts as usize, parts.len() + 1);
    let extra = v1::Snapshot { snapshot_id: "s2".into(), part: 9, parts: 0, ..known.clone() };
    beyond.insert(0, Body::Snapshot(extra));
    stream.push_all(beyond);
    stream.push_all(parts);
    stream.oldest = 1;
    let mut late = Member::new();
    assert!(!late.read(&stream).0);
    stream.push(last);
    assert!(late.read(&stream).0);
    writer.read(&stream);
    assert_eq!(ids(&late), ids(&writer));
}

/// A record of the snapshot does not decode, another snapshot contradicts itself and a third one
/// holds a job that no fold leads to. None may become the state of a member.
#[test]
fn unsound_snapshots_are_passed_over() {
    let mut stream = Stream::with_jobs(2);
    let mut writer = Member::new();
    writer.read(&stream);
    let damaged = writer.snapshot("damaged");
    stream.push_all(damaged);
    *stream.records.last_mut().unwrap() = None;
    for (at, part) in writer.snapshot("contradictory").into_iter().enumerate() {
        let Body::Snapshot(part) = part else { unreachable!() };
        let covers_offset = part.covers_offset - at as u64;
        stream.push(Body::Snapshot(v1::Snapshot { covers_offset, ..part }));
    }
    let job = v1::SnapshotJob { job_id: "zz".into(), ..Default::default() };
    let unsound =
        v1::snapshot::Body::Jobs(v1::JobsSnapshot { jobs: vec![job], ..Default::default() });
    let parts = snapshots::to_parts("unsound", stream.tail(), [unsound].into_iter());
    stream.push_all(parts.into_iter().map(Body::Snapshot).collect());
    stream.oldest = 1;
    let mut late = Member::new();
    assert!(!late.read(&stream).0);
    assert!(late.follower.is_stranded());
    writer.read(&stream);
    let sound = writer.snapshot("sound");
    stream.push_all(sound);
    assert!(late.read(&stream).0 && late.follower.is_at_tail());
}

/// A member is paused for so long that the log drops records it has not read. It wakes with a
/// state that misses them: deciding on it would start a job that another member has ended.
#[test]
fn a_member_that_retention_has_passed_restores_before_it_decides() {
    let mut stream = Stream::with_jobs(2);
    let mut paused = Member::new();
    paused.read(&stream);
    (2..6).for_each(|id| stream.job(id));
    stream.oldest = 4;
    let lost = positions::Lost { from: Offset(2), to: Offset(4) };
    assert_eq!(paused.read(&stream), (false, Some(lost)));
    assert!(!paused.follower.is_following() && paused.follower.is_stranded());
    let mut whole = Member::new();
    whole.read(&Stream { records: stream.records.clone(), oldest: 0 });
    let parts = whole.snapshot("s1");
    stream.push_all(parts);
    assert_eq!(paused.read(&stream), (true, None));
    assert_eq!((ids(&paused), paused.follower.is_following()), (ids(&whole), true));
}

#[test]
fn a_snapshot_that_covers_less_than_is_held_back_cannot_be_used() {
    let mut stream = Stream::with_jobs(3);
    let mut writer = Member::new();
    writer.read(&stream);
    let parts = writer.snapshot("s1");
    (3..20).for_each(|id| stream.job(id));
    stream.push_all(parts);
    stream.oldest = 1;
    let mut late = Member::holding_back(10);
    assert!(!late.read(&stream).0);
    assert!(late.follower.is_stranded());
}

fn part(id: &str, covers: u64, part: u32, parts: u32) -> v1::Snapshot {
    let body = Some(v1::snapshot::Body::Jobs(v1::JobsSnapshot::default()));
    v1::Snapshot { covers_offset: covers, part, parts, snapshot_id: id.into(), body }
}

#[test]
fn the_first_in_order_writes_and_the_next_takes_over() {
    let options = ScheduleOptions { every_records: 100, ..ScheduleOptions::default() };
    let (minute, take_over) = (options.min_interval, options.take_over);
    let mut schedule = Schedule::new(options, NOW);
    let (next, oldest) = (Offset(100), Offset(0));
    assert!(!schedule.due(next, oldest, 0, NOW), "too soon after the last one");
    let at = NOW + minute;
    assert!(!schedule.due(Offset(99), oldest, 0, at));
    assert!(schedule.due(next, oldest, 0, at));
    assert!(!schedule.due(next, oldest, 1, at));
    schedule.saw_part(next, &part("s1", 100, 0, 2), at + take_over / 2);
    assert!(!schedule.due(next, oldest, 1, at + take_over), "the first one is at it");
    let later = at + take_over * 2;
    assert!(schedule.due(next, oldest, 1, later), "the first one has died");
    schedule.began(later);
    assert!(!schedule.due(next, oldest, 1, later));
    schedule.saw_part(Offset(101), &part("s2", 100, 0, 1), later);
    assert_eq!(schedule.covers(), Offset(100));
    assert!(!schedule.due(Offset(199), oldest, 0, later + minute));
}

#[test]
fn a_quiet_stream_is_snapshotted_before_the_log_drops_it() {
    let mut schedule = Schedule::new(ScheduleOptions::default(), NOW);
    let hour = NOW + Duration::from_secs(3_600);
    assert!(!schedule.due(Offset(0), Offset(0), 0, hour), "an empty stream has no state");
    assert!(schedule.due(Offset(1), Offset(0), 0, hour));
    schedule.saw_part(Offset(10), &part("s", 10, 0, 1), hour);
    let soon = hour + Duration::from_secs(60);
    assert!(!schedule.due(Offset(12), Offset(2), 0, soon));
    assert!(schedule.due(Offset(30), Offset(5), 0, soon), "the last one is dropped next");
}

#[test]
fn members_take_turns_as_first_writer() {
    let members: Vec<_> = (0..8).map(|n| InstanceId::new(format!("entry-{n}"))).collect();
    let mut firsts = std::collections::BTreeSet::new();
    for round in 0..200 {
        let ranks = members.iter().map(|m| snapshots::rank(m, &members, Offset(round)));
        let mut ranks: Vec<_> = ranks.collect();
        firsts.insert(ranks.iter().position(|rank| *rank == 0));
        ranks.sort_unstable();
        assert!(ranks.into_iter().eq(0..8), "each place is taken once");
    }
    assert_eq!(firsts.len(), 8);
}
