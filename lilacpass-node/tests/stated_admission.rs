//! Tests which requests other instances refuse for a leader that is behind.

use lilacpass_jobs::JobKey;
use lilacpass_lead::{
    Now,
    admission::Admission,
    event::{Request, Requester, Response},
};
use lilacpass_node::stated_admission::StatedAdmission;
use lilacpass_schema::v1;

const JOBS: u64 = 200;

fn now(steady_ms: u64) -> Now {
    Now { steady_ms, unix_ms: 1_800_000_000_000 + steady_ms }
}

/// What a leader states that has been late for so long that it refuses nearly all jobs.
fn of_a_late_leader() -> StatedAdmission {
    const LATE_MS: u64 = 60_000;
    const DELAY_MS: u64 = 60;
    let mut admission = Admission::new(now(0));
    (0..=LATE_MS).step_by(50).for_each(|ms| admission.update(DELAY_MS, now(ms)));
    StatedAdmission::new(&admission, now(LATE_MS))
}

fn submission(key: u64) -> Request {
    let plan = v1::WorkPlan { steps: vec![v1::WorkStep::default()], ..Default::default() };
    Request::Submit { job: JobKey(key), plan, queue: v1::QueuePolicy::default(), account: None }
}

fn refused(stated: StatedAdmission) -> usize {
    (0..JOBS).filter(|key| stated.refusal(&submission(*key)).is_some()).count()
}

/// Guards against instances that forward to a leader without time what it will refuse.
#[test]
fn instances_refuse_the_jobs_that_the_leader_has_stated() {
    let stated = of_a_late_leader();
    let received = StatedAdmission::decode(&stated.encode(v1::PeerHelloReply::default()));
    assert!(refused(received) > JOBS as usize * 9 / 10);
    for key in 0..JOBS {
        let (own, other) = (stated.refusal(&submission(key)), received.refusal(&submission(key)));
        assert_eq!(own, other, "job {key}");
        if let Some(Response::Refused { retry_after_ms, .. }) = other {
            assert_eq!(retry_after_ms, 3_000, "an overload that lasts");
        }
    }
}

/// Guards against an instance that refuses jobs because a leader of an earlier version says nothing about them.
#[test]
fn a_leader_that_states_nothing_is_asked() {
    assert_eq!(refused(StatedAdmission::decode(&v1::PeerHelloReply::default())), 0);
    assert_eq!(refused(StatedAdmission::default()), 0);
}

/// Guards against clients that cannot ask for their accepted jobs, or cancel them, while the leader is behind.
#[test]
fn only_new_jobs_are_refused() {
    let stated = of_a_late_leader();
    for key in (0..JOBS).map(JobKey) {
        assert_eq!(stated.refusal(&Request::State(key, Requester(None))), None);
        assert_eq!(stated.refusal(&Request::Cancel(key, Requester(None))), None);
    }
    assert_eq!(stated.refusal(&Request::Pending { queue: "q".to_owned() }), None);
}
