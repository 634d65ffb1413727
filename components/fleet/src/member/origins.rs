//! Records of the software versions at which streams began, held by control processes.

use std::time::Duration;

use config::ids::ServiceId;
use indexmap::IndexSet;
use tokio::task::JoinSet;
use tokio::time::timeout;
use upstream::{Origin, Software, StreamKey};
use wire::{Answer, Body};

use super::Member;

/// Control processes that hold a record. One may run on the instance that dies with the entry.
const COPIES: usize = 3;
/// Acknowledgements after which a record outlasts the loss of one instance.
const MIN_ACKNOWLEDGED: usize = 2;
/// Longest time for which the rest of the copies is attempted.
const COPY_TIMEOUT: Duration = Duration::from_secs(1);

impl Member {
    /// Records at which software version a stream began. Returns once enough control processes hold
    /// the record, or after `limit`; the other copies are then still attempted. Reports whether
    /// enough hold it.
    pub async fn record_origin(&self, origin: Origin, limit: Duration) -> bool {
        let mut holders = self.shared.links.holders(&origin.key);
        holders.truncate(COPIES);
        let needed = MIN_ACKNOWLEDGED.min(holders.len());
        let mut copies = JoinSet::new();
        for holder in holders {
            let request = self.shared.request(Body::RecordOrigin(origin.clone()));
            copies.spawn(async move { holder.call(request, COPY_TIMEOUT).await });
        }
        let acknowledged = timeout(limit, async {
            let mut count = 0;
            while count < needed
                && let Some(copy) = copies.join_next().await
            {
                count += usize::from(matches!(copy, Ok(Ok(Answer::Done))));
            }
            count
        });
        let acknowledged = acknowledged.await.unwrap_or(0);
        copies.detach_all();
        needed > 0 && acknowledged >= needed
    }

    /// Asks all control processes at which software version a stream began. Returns `None` if none
    /// of them knows it within `limit`.
    pub async fn find_origin(&self, key: &StreamKey, limit: Duration) -> Option<Software> {
        let mut answers = JoinSet::new();
        for holder in self.shared.links.holders(key) {
            let request = self.shared.request(Body::FindOrigin(*key));
            answers.spawn(async move { holder.call(request, limit).await });
        }
        while let Some(answer) = answers.join_next().await {
            if let Ok(Ok(Answer::Origin(Some(software)))) = answer {
                return Some(software);
            }
        }
        None
    }

    /// Asks a majority of the control processes for the software versions of a service's upstreams,
    /// including those that left a short time ago. Returns `None` if no majority answers within
    /// `limit`: another part of the group may know others.
    pub async fn list_software(
        &self,
        service: &ServiceId,
        limit: Duration,
    ) -> Option<IndexSet<Software>> {
        let holders = self.shared.holders();
        let mut answers = JoinSet::new();
        for connection in holders.confirming {
            let request = self.shared.request(Body::ListSoftware(service.clone()));
            answers.spawn(async move { connection.call(request, limit).await });
        }
        let (mut answered, mut known) = (0, IndexSet::new());
        while answered < holders.needed
            && let Some(answer) = answers.join_next().await
        {
            if let Ok(Ok(Answer::Software(versions))) = answer {
                answered += 1;
                known.extend(versions);
            }
        }
        (answered >= holders.needed).then_some(known)
    }
}
