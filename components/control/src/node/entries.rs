//! Entries that join, renew their freshness leases and leave, at the leader.

use std::sync::PoisonError;
use std::time::{Duration, Instant};

use config::ids::{Incarnation, NodeId, Version};
use state::claims::millis;
use state::{Change, Command, Output};
use tokio::time::sleep;
use tracing::info;
use wire::{Answer, Failure, FreshnessLease};

use super::{Node, whole_texts};
use crate::replica::Replica;

/// Time between two checks whether a whole text may be sent.
const TURN_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    /// Grants a freshness lease to an entry that has a version in force.
    pub(super) async fn confirm(
        &self,
        entry: NodeId,
        incarnation: Incarnation,
        entry_version: Version,
        fetches: bool,
    ) -> Result<Answer, Failure> {
        let term = self.replica.status().term;
        self.join(&entry, incarnation).await?;
        // Recorded before the lease is granted, so that every submission waits for it.
        self.leadership()
            .leases
            .record(&entry, incarnation, entry_version, Instant::now());
        self.read_barrier().await?;
        let (version, source) = {
            let state = self.machine.read();
            let version = state.texts().newest();
            let revision = state
                .texts()
                .revision(version)
                .filter(|_| version > entry_version && !fetches);
            (
                version,
                revision.map(|revision| revision.source.to_string()),
            )
        };
        if let Some(source) = &source {
            self.wait_to_send(&entry, incarnation, source.len()).await?;
        }
        match self.replica.status().term {
            now if now == term && self.leads() => Ok(Answer::FreshnessLease(FreshnessLease {
                version,
                lease_ms: millis(self.settings.freshness_lease),
                source,
                leader: self.settings.node.clone(),
            })),
            _ => Err(Failure::NoLeader),
        }
    }

    /// Waits until a text of `bytes` may be sent with the lease of an entry that fetches none.
    async fn wait_to_send(
        &self,
        entry: &NodeId,
        incarnation: Incarnation,
        bytes: usize,
    ) -> Result<(), Failure> {
        if bytes < whole_texts::MIN_BYTES {
            return Ok(());
        }
        let deadline = Instant::now() + whole_texts::MAX_WAIT;
        loop {
            let process = (entry.clone(), incarnation);
            let now = Instant::now();
            let may_send = {
                let mut texts = self
                    .whole_texts
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                texts.begin(process, bytes, now)
            };
            match may_send {
                true => return Ok(()),
                false if now >= deadline => {
                    let reason = "the text is sent to other entries first";
                    return Err(Failure::Uncertain(reason.into()));
                }
                false => sleep(TURN_POLL_INTERVAL).await,
            }
        }
    }

    async fn join(&self, entry: &NodeId, incarnation: Incarnation) -> Result<(), Failure> {
        let serves = || self.machine.read().members().serves(entry, incarnation);
        if serves() {
            return Ok(());
        }
        let change = Change::Join {
            entry: entry.clone(),
            incarnation,
        };
        self.commit(change).await?;
        match serves() {
            true => {
                info!("control: entry \"{entry}\" joined with incarnation {incarnation}");
                Ok(())
            }
            false => Err(Failure::Refused(
                "a later process of the same entry serves".into(),
            )),
        }
    }

    /// Ends the lease of an entry that stops for good.
    pub(super) async fn leave(
        &self,
        entry: NodeId,
        incarnation: Incarnation,
    ) -> Result<Answer, Failure> {
        let now = Instant::now();
        self.leadership().leases.release(&entry, incarnation, now);
        self.commit(Change::Lost {
            entry: entry.clone(),
            incarnation,
        })
        .await?;
        self.leadership().leases.remove(&entry, incarnation, now);
        info!("control: entry \"{entry}\" left");
        Ok(Answer::Done)
    }
}
