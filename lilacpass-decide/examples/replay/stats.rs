//! What a replay measures, and the table.

use std::{thread, time::Duration};

use lilacpass_core::Resources;

use crate::workload::{DEADLINE_US, SECOND_US, Setup, Work, worker_capacity};

/// Waiting times are counted after this time, when the cell has filled up.
pub(crate) const WARM_UP_US: u64 = 30 * SECOND_US;

#[derive(Clone, Debug, Default)]
pub(crate) struct Stats {
    replays: u64,
    wait_us: [Vec<u64>; 3],
    jobs_arrived: [u64; 3],
    quick_answer_us: Vec<u64>,
    quick_arrived: u64,
    quick_admitted: u64,
    quick_in_time: u64,
    failed: u64,
    slot_us: u128,
    cpu_us: u128,
    pub(crate) lost_preempted_us: u128,
    pub(crate) preempted: u64,
    pub(crate) jobs_done: u64,
    decisions_ns: Vec<u64>,
    pub(crate) unsafe_preemptions: u64,
}

/// Rows of waiting times.
#[derive(Clone, Copy)]
pub(crate) enum Row {
    Quick,
    Long,
    Gang,
}

impl Row {
    pub(crate) fn of(work: &Work) -> Self {
        match (work.is_quick(), work.tasks) {
            (true, _) => Self::Quick,
            (false, 1) => Self::Long,
            _ => Self::Gang,
        }
    }
}

impl Stats {
    /// Takes in what another replay of the same setup, with another seed, has measured.
    fn absorb(&mut self, other: Self) {
        self.replays += other.replays;
        for n in 0..3 {
            self.wait_us[n].extend(&other.wait_us[n]);
            self.jobs_arrived[n] += other.jobs_arrived[n];
        }
        self.quick_answer_us.extend(&other.quick_answer_us);
        self.decisions_ns.extend(&other.decisions_ns);
        self.quick_arrived += other.quick_arrived;
        self.quick_admitted += other.quick_admitted;
        self.quick_in_time += other.quick_in_time;
        self.failed += other.failed;
        self.slot_us += other.slot_us;
        self.cpu_us += other.cpu_us;
        self.lost_preempted_us += other.lost_preempted_us;
        self.preempted += other.preempted;
        self.jobs_done += other.jobs_done;
        self.unsafe_preemptions += other.unsafe_preemptions;
    }

    /// Replays with each seed on a thread of its own, and takes all together.
    pub(crate) fn over_seeds(setup: &Setup, replay: impl Fn(&Setup) -> Self + Sync) -> Self {
        let seeds = setup.seed..setup.seed + setup.seeds;
        let setups: Vec<Setup> = seeds.map(|seed| Setup { seed, ..setup.clone() }).collect();
        let replay = &replay;
        thread::scope(|scope| {
            let spawn = |setup| scope.spawn(move || replay(setup));
            let running: Vec<_> = setups.iter().map(spawn).collect();
            running.into_iter().fold(Self::default(), |mut all, one| {
                all.absorb(Self { replays: 1, ..one.join().expect("a replay ends") });
                all
            })
        })
    }

    /// Whether what becomes of this work is counted: not while the cell fills up, and not at the
    /// end, when the answer would come after the replay.
    fn counts(work: &Work, setup: &Setup) -> bool {
        let end_us = setup.seconds * SECOND_US - 2 * DEADLINE_US;
        (WARM_UP_US..end_us).contains(&work.arrives_us)
    }

    pub(crate) fn arrived(&mut self, work: &Work, setup: &Setup) {
        let counts = u64::from(Self::counts(work, setup));
        self.quick_arrived += counts * u64::from(work.is_quick());
        self.jobs_arrived[Row::of(work) as usize] += counts;
    }

    /// A request or job has started; all tasks of it.
    pub(crate) fn started(&mut self, work: &Work, now_us: u64, setup: &Setup) {
        if Self::counts(work, setup) {
            self.wait_us[Row::of(work) as usize].push(now_us - work.arrives_us);
            self.quick_admitted += u64::from(work.is_quick());
        }
    }

    pub(crate) fn answered(&mut self, work: &Work, now_us: u64, ok: bool, setup: &Setup) {
        if !Self::counts(work, setup) {
            return;
        }
        self.failed += u64::from(!ok);
        let took = now_us - work.arrives_us;
        if ok {
            self.quick_answer_us.push(took);
            self.quick_in_time += u64::from(took <= DEADLINE_US);
        }
    }

    /// A task has used its slot over this time.
    pub(crate) fn used(&mut self, size: &Resources, from_us: u64, to_us: u64, setup: &Setup) {
        let window = |t: u64| t.clamp(WARM_UP_US, setup.seconds * SECOND_US);
        let us = u128::from(window(to_us) - window(from_us));
        self.slot_us += us * u128::from(size.slots.0);
        self.cpu_us += us * u128::from(size.cpu.0);
    }

    pub(crate) fn decided(&mut self, took: Duration) {
        self.decisions_ns.push(took.as_nanos() as u64);
    }

    pub(crate) fn header() -> &'static str {
        "| policy | load % | quick wait p50 / p99 ms | quick answer p99 ms | in time % of all | \
         in time % of admitted | goodput /s | failed | long wait p50 / p99 s, started % | \
         gang wait p50 / p99 s, started % | slots used % | jobs done | preempted | lost to preemption % | \
         decision p50 / p99 us |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
    }

    pub(crate) fn row(&mut self, policy: &str, setup: &Setup) -> String {
        let wait = |waits: &mut Vec<u64>, unit: f64| {
            let mut at = |permille| quantile(waits, permille) as f64 / unit;
            format!("{:.1} / {:.1}", at(500), at(990))
        };
        let [quick, long, gang] = &mut self.wait_us;
        let started = [long.len(), gang.len()].map(|n| n as u64);
        let (quick, long, gang) = (wait(quick, 1e3), wait(long, 1e6), wait(gang, 1e6));
        let percent = |part: u64, whole: u64| 100.0 * part as f64 / whole.max(1) as f64;
        let long = format!("{long}, {:.0}", percent(started[0], self.jobs_arrived[1]));
        let gang = format!("{gang}, {:.0}", percent(started[1], self.jobs_arrived[2]));
        let seconds = setup.seconds as f64 - (WARM_UP_US / SECOND_US) as f64;
        let replays = self.replays as f64;
        let counted = replays * (seconds - (2 * DEADLINE_US / SECOND_US) as f64);
        let capacity = worker_capacity();
        let area = replays * setup.workers as f64 * seconds * SECOND_US as f64;
        let slots = 100.0 * self.slot_us as f64 / (area * capacity.slots.0 as f64);
        let lost = 100.0 * self.lost_preempted_us as f64 / (area * capacity.slots.0 as f64);
        let decision = |ns: &mut Vec<u64>, permille| quantile(ns, permille) as f64 / 1e3;
        format!(
            "| {policy} | {} | {quick} | {:.0} | {:.2} | {:.2} | {:.0} | {} | {long} | {gang} | {slots:.1} | {} | {} | {lost:.2} | {:.1} / {:.1} |",
            setup.load_percent,
            quantile(&mut self.quick_answer_us, 990) as f64 / 1e3,
            percent(self.quick_in_time, self.quick_arrived),
            percent(self.quick_in_time, self.quick_admitted),
            self.quick_in_time as f64 / counted,
            self.failed,
            self.jobs_done / self.replays.max(1),
            self.preempted / self.replays.max(1),
            decision(&mut self.decisions_ns, 500),
            decision(&mut self.decisions_ns, 990),
        )
    }
}

/// The quantile of some values; 0 where there are none.
pub(crate) fn quantile(values: &mut [u64], permille: usize) -> u64 {
    if values.is_empty() {
        return 0;
    }
    let at = ((values.len() - 1) * permille).div_ceil(1_000);
    *values.select_nth_unstable(at).1
}
