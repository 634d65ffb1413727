//! What callers of each rank and account got.

use indexmap::IndexMap;

use crate::engine::Request;
use crate::simulation::ACCOUNTS;

/// What callers of a class got.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) asked: f64,
    pub(crate) in_time: f64,
    pub(crate) late: f64,
    pub(crate) planned: f64,
    pub(crate) local: f64,
}

impl Counts {
    pub(crate) fn served(&self) -> f64 {
        (self.in_time + self.late) / self.asked.max(1.0)
    }

    pub(crate) fn in_time(&self) -> f64 {
        self.in_time / self.asked.max(1.0)
    }
}

/// Outcomes by second of arrival, rank and account.
#[derive(Debug, Default)]
pub(crate) struct Outcomes(IndexMap<(u32, u8, usize), Counts>);

impl Outcomes {
    pub(crate) fn of(&mut self, request: &Request) -> &mut Counts {
        let second = (request.arrived_ms / 1_000.0) as u32;
        self.0
            .entry((second, request.rank, request.account))
            .or_default()
    }

    /// Returns the sum over the requests that arrived from second `from` until `to` and that `filter`
    /// accepts by rank and account.
    pub(crate) fn sum(&self, from: u32, to: u32, filter: impl Fn(u8, usize) -> bool) -> Counts {
        let rows = self.0.iter().filter(|((second, rank, account), _)| {
            (from..to).contains(second) && filter(*rank, *account)
        });
        rows.fold(Counts::default(), |sum, (_, counts)| Counts {
            asked: sum.asked + counts.asked,
            in_time: sum.in_time + counts.in_time,
            late: sum.late + counts.late,
            planned: sum.planned + counts.planned,
            local: sum.local + counts.local,
        })
    }

    pub(crate) fn rank(&self, from: u32, to: u32, rank: u8) -> Counts {
        self.sum(from, to, |other, _| other == rank)
    }

    /// Prints what callers got, for the log of a failed test.
    pub(crate) fn print(&self, from: u32, to: u32) {
        for rank in 0..3 {
            let counts = self.rank(from, to, rank);
            println!(
                "rank {rank}: served {:.3} in time {:.3} {counts:?}",
                counts.served(),
                counts.in_time()
            );
            for account in 0..ACCOUNTS {
                let counts = self.sum(from, to, |r, a| (r, a) == (rank, account));
                print!(" {:.2}", counts.served());
            }
            println!();
        }
    }
}
