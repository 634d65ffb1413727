//! What an entry asks of the control group.

use std::sync::Arc;

use arc_swap::ArcSwap;
use errors::Result;
use limits::{Draw, Grant};
use upstream::Announcement;

use crate::View;
use crate::claim::{Claim, Settlement, Verdict};

/// The edge between the request path and the control group.
pub trait Control: Send + Sync + 'static {
    /// Returns the view, which the implementation keeps up to date.
    fn view(&self) -> &Arc<ArcSwap<View>>;

    /// Takes in an announcement that reached this entry, and passes it on.
    fn announce(&self, announcement: Announcement);

    /// Reports what was used of accounts' limits, and returns a grant for each report, in order.
    fn draw(&self, draws: Vec<Draw>) -> impl Future<Output = Result<Vec<Grant>>> + Send;

    /// Commits a claim. An error means that the claim may or may not be committed; the caller
    /// must not dispatch.
    fn claim(&self, claim: Claim) -> impl Future<Output = Result<Verdict>> + Send;

    /// Commits the end of a claim that was granted to this entry.
    fn settle(
        &self,
        claim: Claim,
        settlement: Settlement,
    ) -> impl Future<Output = Result<()>> + Send;
}
