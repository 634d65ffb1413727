//! How many losses a group bears.

use crate::Member;

/// How many more voters the group can lose, as its leader sees it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Margin {
    /// Live voters of which any may be lost at once while the others are still a quorum.
    pub tolerated: usize,
    /// The same with all voters live that the group is to have.
    pub full: usize,
    /// Voters that don't answer, or whose process has another data folder now.
    pub missing: Vec<Member>,
}

impl Margin {
    /// Reports whether the group bears fewer losses than it is to.
    pub fn is_reduced(&self) -> bool {
        self.tolerated < self.full
    }
}
