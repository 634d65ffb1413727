//! The replica of the state in one control process.

mod consensus_replica;
mod driver;
mod forwarding;
mod input;
mod job;
mod settings;
mod state_machine;
mod storage_worker;

pub use consensus_replica::ConsensusReplica;
pub use forwarding::ForwardingReplica;
pub use settings::Settings;
pub use state_machine::StateMachine;

use std::time::Instant;

use config::ids::NodeId;
use consensus::Margin;
use errors::Result;

/// Status of a replica in the control group.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Term of the replicated log.
    pub term: u64,
    /// Leader of the term, if it is known.
    pub leader: Option<NodeId>,
    /// End of this process's lease as the leader; `None` if it is not the leader.
    pub leads_until: Option<Instant>,
    /// Index of the last entry of the log.
    pub last_index: u64,
    /// Index of the last committed entry.
    pub commit_index: u64,
    /// Processes that vote.
    pub voters: Vec<NodeId>,
    /// Processes that receive the log but don't vote.
    pub learners: Vec<NodeId>,
    /// How many losses the group tolerates; `None` if this process is not the leader.
    pub margin: Option<Margin>,
    /// Whether a lost voter is being replaced. Until that is over, a decision also needs a quorum
    /// of the voters before.
    pub is_swapping: bool,
    /// Members of the group, as another process last named them.
    pub told_group: Vec<NodeId>,
}

/// Interface of a replicated state machine to the control process.
pub trait Replica: Send + Sync + 'static {
    /// Commands that change the state.
    type Command;
    /// What applying a command returns.
    type Output;

    /// Commits and applies a command, and returns its output.
    ///
    /// After an error of the step `Route` the command never takes effect. After any other error it
    /// may or may not be committed.
    fn propose(&self, command: Self::Command) -> impl Future<Output = Result<Self::Output>> + Send;

    /// Returns once everything that was committed before the call is applied here.
    fn read_barrier(&self) -> impl Future<Output = Result<()>> + Send;

    /// Transfers leadership to another voter before a planned stop. Returns once another voter is
    /// the leader, or at once if this process is not the leader or the only voter.
    fn transfer_leadership(&self) -> impl Future<Output = Result<()>> + Send;

    /// Receives a message of another replica. Messages may be lost, duplicated or reordered.
    fn deliver(&self, message: consensus::Message);

    /// Returns the current status.
    fn status(&self) -> Status;

    /// Reports whether this process keeps no log, and forwards all requests.
    fn forwards_only(&self) -> bool {
        false
    }

    /// Learns the members of the group from one of them.
    fn learn_group(&self, _group: Vec<NodeId>) {}
}
