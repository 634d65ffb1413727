//! Switches with which tests turn off single safeguards, to show that each one is needed.

/// Safeguards of the protocol; all are on unless a test turns one off.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// Start an election only after a pre-vote that a quorum granted.
    pub pre_vote: bool,
    /// Refuse votes while the node's promise to a leader holds.
    pub lease_promise: bool,
    /// Refuse votes after a restart for as long as a promise lasts, as promises are not stored.
    pub restart_wait: bool,
    /// Shorten the lease by the maximum drift between clocks.
    pub drift_bound: bool,
    /// Step down if no quorum answers.
    pub check_quorum: bool,
    /// Send a reply only after the writes that it depends on are synced.
    pub sync_before_answer: bool,
    /// Drop messages that are addressed to another data folder, for example to the one that this
    /// node had before its disk was replaced.
    pub disk_identity: bool,
    /// Vote only for candidates whose log is at least as up to date as the voter's.
    pub log_up_to_date: bool,
    /// Commit by counting replicas only for entries of the leader's own term.
    pub commit_own_term: bool,
    /// Begin a membership change only after the previous one is committed.
    pub single_change: bool,
    /// Change the membership only after an entry of the leader's own term is committed.
    pub own_term_before_change: bool,
    /// Let a spare vote only after it holds the whole committed log on its disk.
    pub spare_up_to_date: bool,
    /// Report a proposal as lost only after another entry is committed at the proposal's index, not
    /// as soon as the proposal is truncated from the log.
    pub report_lost_after_commit: bool,
}

impl Guards {
    /// All safeguards on.
    pub const ON: Guards = Guards {
        pre_vote: true,
        lease_promise: true,
        restart_wait: true,
        drift_bound: true,
        check_quorum: true,
        sync_before_answer: true,
        disk_identity: true,
        log_up_to_date: true,
        commit_own_term: true,
        single_change: true,
        own_term_before_change: true,
        spare_up_to_date: true,
        report_lost_after_commit: true,
    };
}

impl Default for Guards {
    fn default() -> Self {
        Guards::ON
    }
}
