//! How many losses a group tolerates.

use crate::Member;

/// How many more voters the group can lose, as its leader sees it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Margin {
    /// Live voters of which any may be lost at once while the others are still a quorum.
    pub tolerated: usize,
    /// The same once all voters that the group should have are live.
    pub full: usize,
    /// Voters that don't answer, or whose process has another data folder now.
    pub missing: Vec<Member>,
}

impl Margin {
    /// Reports whether the group tolerates fewer losses than it should.
    pub fn is_reduced(&self) -> bool {
        self.tolerated < self.full
    }
}
