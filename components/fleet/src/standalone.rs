//! In-memory control group of an entry that runs without control processes, for trials on a single
//! machine.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use compact_str::CompactString;
use config::Text;
use config::ids::{AccountId, RequestId};
use errors::Result;
use indexmap::IndexMap;
use limits::{Accounts, Draw, Grant};
use upstream::Announcement;

use crate::claim::{Answer, Claim, Settlement, Verdict};
use crate::{Config, Control, View};

/// Freshness lease that never expires in practice.
const UNLIMITED_LEASE: Duration = Duration::from_secs(100 * 365 * 86_400);
/// Node name in draws on limits.
const NODE_NAME: &str = "standalone";
/// Time within which the holder of a claim must dispatch the call.
const DISPATCH_WINDOW_MS: u64 = 2_000;

/// Control group of a standalone entry: one text with version 1, and claims in memory.
pub struct Standalone {
    view: Arc<ArcSwap<View>>,
    claims: Mutex<IndexMap<(AccountId, CompactString), Record>>,
    accounts: Mutex<Accounts>,
}

struct Record {
    fingerprint: u64,
    holder: RequestId,
    outcome: Outcome,
}

enum Outcome {
    Pending,
    Answered(Answer),
    Unknown,
}

impl Standalone {
    /// Creates the control group with `text` in force.
    pub fn new(text: Text) -> Self {
        let view = View {
            config: Some(Arc::new(Config { version: 1, text })),
            fresh_until: Some(Instant::now() + UNLIMITED_LEASE),
            control_reachable: true,
            ..View::default()
        };
        Standalone {
            view: Arc::new(ArcSwap::from_pointee(view)),
            claims: Mutex::default(),
            accounts: Mutex::default(),
        }
    }
}

impl Control for Standalone {
    fn view(&self) -> &Arc<ArcSwap<View>> {
        &self.view
    }

    async fn announce(&self, announcement: Announcement) -> Result<()> {
        let now = Instant::now();
        let expires = now + Duration::from_millis(announcement.lease_ms);
        self.view.rcu(|view| {
            let mut routes = (*view.routes).clone();
            routes.insert(announcement.clone(), now, expires);
            View {
                routes: Arc::new(routes),
                ..(**view).clone()
            }
        });
        Ok(())
    }

    async fn draw(&self, draws: Vec<Draw>) -> Result<Vec<Grant>> {
        let mut accounts = self
            .accounts
            .lock()
            .expect("no panic while the accounts are locked");
        let view = self.view.load();
        let now = Instant::now();
        let grant = |draw: &Draw| match &view.config {
            Some(config) => accounts.draw(&NODE_NAME.into(), draw, &config.text, now),
            None => Grant::empty(),
        };
        Ok(draws.iter().map(grant).collect())
    }

    async fn claim(&self, claim: Claim) -> Result<Verdict> {
        let mut claims = self
            .claims
            .lock()
            .expect("no panic while the claims are locked");
        let id = (claim.account, claim.key);
        let verdict = match claims.get(&id) {
            None => Verdict::Granted {
                dispatch_within_ms: DISPATCH_WINDOW_MS,
            },
            Some(record) if record.fingerprint != claim.fingerprint => Verdict::Mismatch,
            Some(Record {
                outcome: Outcome::Answered(answer),
                ..
            }) => Verdict::Recorded(answer.clone()),
            Some(Record {
                outcome: Outcome::Unknown,
                holder,
                ..
            }) => Verdict::Unknown {
                holder: holder.clone(),
            },
            Some(Record { holder, .. }) => Verdict::Held {
                holder: holder.clone(),
            },
        };
        if matches!(verdict, Verdict::Granted { .. }) {
            let fingerprint = claim.fingerprint;
            let record = Record {
                fingerprint,
                holder: claim.request,
                outcome: Outcome::Pending,
            };
            claims.insert(id, record);
        }
        Ok(verdict)
    }

    async fn settle(&self, claim: Claim, settlement: Settlement) -> Result<()> {
        let mut claims = self
            .claims
            .lock()
            .expect("no panic while the claims are locked");
        let id = (claim.account, claim.key);
        match (settlement, claims.get_mut(&id)) {
            (Settlement::NotRun, Some(record)) if record.holder == claim.request => {
                claims.shift_remove(&id);
            }
            (Settlement::Answered(answer), Some(record)) if record.holder == claim.request => {
                record.outcome = Outcome::Answered(answer);
            }
            (Settlement::Unknown, Some(record)) if record.holder == claim.request => {
                record.outcome = Outcome::Unknown;
            }
            _ => {}
        }
        Ok(())
    }
}
