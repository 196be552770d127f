//! Tests which new jobs a leader accepts that has no processor time to spare.

mod world;

use lilacpass_jobs::JobKey;
use lilacpass_lead::{
    Now,
    admission::{Admission, JobShare},
};
use lilacpass_schema::v1;
use world::{START_UNIX_MS, plan, step};

const TICK_MS: u64 = 50;
/// Mean delay of the ticks of a leader that is busy without a pause, and of one that is not, in ms.
const BUSY_DELAY_MS: u64 = 30;
const CALM_DELAY_MS: u64 = 1;
const JOBS: u64 = 1_000;

/// The admission of a leader, and the time.
struct Fixture {
    admission: Admission,
    now_ms: u64,
}

impl Fixture {
    fn new() -> Self {
        Self { admission: Admission::new(at(0)), now_ms: 0 }
    }

    /// Lets ticks pass whose mean delay is `delay_ms`.
    fn run(&mut self, for_ms: u64, delay_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            self.admission.update(delay_ms, at(self.now_ms));
        }
    }

    fn refused_permille(&self) -> u32 {
        self.admission.share().refused_permille()
    }
}

fn at(steady_ms: u64) -> Now {
    Now { steady_ms, unix_ms: START_UNIX_MS + steady_ms }
}

fn short_job() -> v1::WorkPlan {
    plan(&[step(2, 1_000, 400)])
}

fn refused_jobs(share: JobShare) -> Vec<u64> {
    (0..JOBS).filter(|key| share.refuses(JobKey(*key), &short_job())).collect()
}

/// Guards against jobs that are refused because of a burst of some tenths of a second.
#[test]
fn a_leader_that_is_late_for_a_moment_refuses_no_job() {
    let mut fixture = Fixture::new();
    for _ in 0..20 {
        fixture.run(400, BUSY_DELAY_MS);
        fixture.run(100, CALM_DELAY_MS);
    }
    assert_eq!(fixture.refused_permille(), 0);
}

/// Guards against a leader that accepts all jobs while it has no time, or goes on to refuse them afterwards.
#[test]
fn a_late_leader_accepts_ever_fewer_jobs_and_all_of_them_again_later() {
    let mut fixture = Fixture::new();
    fixture.run(3_000, BUSY_DELAY_MS);
    let after_3_s = fixture.refused_permille();
    assert!((400..700).contains(&after_3_s), "{after_3_s}");
    fixture.run(3_000, BUSY_DELAY_MS);
    assert!(fixture.refused_permille() > after_3_s);
    fixture.run(600_000, BUSY_DELAY_MS);
    let accepted = JOBS as usize - refused_jobs(fixture.admission.share()).len();
    assert!(accepted > 0, "some jobs show whether there is time again");
    fixture.run(30_000, CALM_DELAY_MS);
    assert_eq!(fixture.refused_permille(), 0);
    assert_eq!(fixture.admission.limited_ms(at(fixture.now_ms)), 0);
}

/// Guards against accepted jobs that are late because their clients were refused before, in place of others.
#[test]
fn a_refused_job_is_refused_again_until_the_share_grows() {
    let mut fixture = Fixture::new();
    fixture.run(3_000, BUSY_DELAY_MS);
    let before = refused_jobs(fixture.admission.share());
    let expected = fixture.refused_permille() as usize;
    assert!(before.len().abs_diff(expected) < 60, "{} of {expected}", before.len());
    fixture.run(1_000, BUSY_DELAY_MS);
    let after = refused_jobs(fixture.admission.share());
    assert!(before.iter().all(|key| after.contains(key)));
}

/// Guards against an instance that refuses a job which the leader has accepted, and whose client got no response.
#[test]
fn the_recent_share_contains_every_job_accepted_within_seconds() {
    let mut fixture = Fixture::new();
    let mut shares = Vec::new();
    for delay_ms in [BUSY_DELAY_MS, CALM_DELAY_MS, BUSY_DELAY_MS, BUSY_DELAY_MS, CALM_DELAY_MS] {
        for _ in 0..60 {
            fixture.run(TICK_MS, delay_ms);
            shares.push((fixture.now_ms, fixture.admission.share()));
            let recent = shares.iter().filter(|(ms, _)| ms + 5_000 > fixture.now_ms);
            let least = recent.map(|(_, share)| share.refused_permille()).min();
            let stated = fixture.admission.recent_share().refused_permille();
            assert!(Some(stated) <= least, "{stated} of {least:?} at {}", fixture.now_ms);
        }
    }
    fixture.run(20_000, BUSY_DELAY_MS);
    assert!(
        fixture.admission.recent_share().refused_permille() > 0,
        "overload that lasts is stated"
    );
}

/// Guards against standing work that is missing for minutes because it was refused in a busy second.
#[test]
fn work_that_lasts_is_always_accepted() {
    let share = JobShare::without_permille(1_000);
    let mut lasting = step(3, 1_000, 400);
    lasting.lasting = true;
    let lasting = plan(&[lasting]);
    assert_eq!(refused_jobs(share).len(), JOBS as usize);
    assert!((0..JOBS).all(|key| !share.refuses(JobKey(key), &lasting)));
}
