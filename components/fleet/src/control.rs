//! The interface of an entry to the control group.

use std::sync::Arc;

use arc_swap::ArcSwap;
use errors::Result;
use limits::{Draw, Grant};
use upstream::Announcement;

use crate::View;
use crate::claim::{Claim, Settlement, Verdict};

/// Operations of the request path that involve the control group.
pub trait Control: Send + Sync + 'static {
    /// Returns the view of the fleet, which the implementation keeps up to date.
    fn view(&self) -> &Arc<ArcSwap<View>>;

    /// Applies an announcement that an upstream sent to this entry, and relays it. One by which the
    /// upstream leaves is held by others when this returns.
    ///
    /// # Errors
    /// If too few others hold it; it may be lost with this entry.
    fn announce(&self, announcement: Announcement) -> impl Future<Output = Result<()>> + Send;

    /// Reports the use of accounts' limits, and returns a grant for each report, in order.
    fn draw(&self, draws: Vec<Draw>) -> impl Future<Output = Result<Vec<Grant>>> + Send;

    /// Commits a claim. After an error, the claim may or may not be committed, and the caller must
    /// not dispatch the call.
    fn claim(&self, claim: Claim) -> impl Future<Output = Result<Verdict>> + Send;

    /// Commits the settlement of a claim that was granted to this entry.
    fn settle(
        &self,
        claim: Claim,
        settlement: Settlement,
    ) -> impl Future<Output = Result<()>> + Send;
}
