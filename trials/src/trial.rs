//! Fleet with upstreams, and the checks that hold after any fault.

use std::sync::Arc;
use std::time::Duration;

use stand_ins::engine::Engine;
use stand_ins::load::{self, Caller, Report};
use stand_ins::plain::Plain;

use crate::text::DATA_CENTRES;
use crate::upstreams::{booking, chat, read, start_engines, start_plain, wait_until_reachable};
use crate::{Fleet, Rng, Settings, Workload, wait_until};

/// Most attempts for one call of [`Trial::retrying_caller`].
const MAX_ATTEMPTS: usize = 60;
/// Number of the calls by which [`Trial::start`] waits for the entries; tests use other numbers.
const WARM_UP_NUMBER: u64 = 9_999_999;

/// Running fleet with one plain service, and one engine in each data centre.
#[derive(Debug)]
pub struct Trial {
    /// Control processes and entries.
    pub fleet: Fleet,
    /// Model engines.
    pub engines: Vec<Engine>,
    /// Plain services.
    pub plains: Vec<Plain>,
}

impl Trial {
    /// Starts the fleet and its upstreams, and waits until each entry answers reads and chats.
    ///
    /// # Panics
    /// Panics when a process or stand-in can't be started or an entry does not answer within 120 s.
    pub async fn start(settings: Settings) -> Trial {
        let fleet = Fleet::start(settings).await.expect("the fleet starts");
        let jobs = start_plain(&fleet, "jobs-1", DATA_CENTRES[1]).await;
        let jobs = jobs.expect("the plain service starts");
        let engines = start_engines(&fleet, DATA_CENTRES.len(), &DATA_CENTRES).await;
        let engines = engines.expect("the engines start");
        wait_until_reachable(&fleet, &read(WARM_UP_NUMBER)).await;
        wait_until_reachable(&fleet, &chat(WARM_UP_NUMBER, 2)).await;
        Trial {
            fleet,
            engines,
            plains: vec![jobs],
        }
    }

    /// Returns a caller that retries requests refused as not run, up to 60 attempts.
    pub fn retrying_caller(&self) -> Arc<Caller> {
        Arc::new(Caller::new(load::Settings {
            retry_refused: true,
            max_attempts: MAX_ATTEMPTS,
            ..self.fleet.caller_settings()
        }))
    }

    /// Starts `count` bookings and as many streams, with random delays from `seed` between them.
    pub async fn generate_load(&self, workload: &mut Workload, seed: u64, count: u64) {
        let caller = self.retrying_caller();
        let mut rng = Rng::new(seed);
        for number in 0..count {
            let number = seed * 1_000 + number;
            workload.add(&caller, booking(number));
            workload.add(&caller, chat(number, 20));
            tokio::time::sleep(Duration::from_millis(rng.sample(5..40))).await;
        }
    }

    /// Waits for the callers, and checks that no call was lost, executed twice, answered wrongly or
    /// refused although it was run, and that no entry went back to an earlier text.
    ///
    /// # Panics
    /// Panics with the counts and all logs when a check fails.
    pub async fn check(&self, workload: Workload) -> Report {
        let report = workload.report(&self.engines, &self.plains).await;
        println!("{}", report.counts());
        let logs = || self.fleet.logs();
        assert!(report.is_clean(), "{report}\n{}", logs());
        for index in 0..self.fleet.entries.len() {
            let versions = self.fleet.versions_in_force(index);
            assert!(versions.is_sorted(), "{versions:?}\n{}", logs());
        }
        report
    }

    /// Waits until the group has a leader, and returns its index.
    ///
    /// # Panics
    /// Panics when there is none within 120 s.
    pub async fn wait_for_leader(&self) -> usize {
        wait_until("a leader", || async { self.fleet.leader().await.is_some() }).await;
        self.fleet.leader().await.expect("the group has a leader")
    }

    /// Waits until the group has another leader than `former`, and returns its index.
    ///
    /// # Panics
    /// Panics when there is none within 120 s.
    pub async fn wait_for_next_leader(&self, former: usize) -> usize {
        wait_until("another leader", || async {
            self.fleet.leader().await.is_some_and(|it| it != former)
        })
        .await;
        self.wait_for_leader().await
    }
}
