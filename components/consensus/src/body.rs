//! Contents of messages.

use serde::{Deserialize, Serialize};

use crate::ids::{DiskId, Index, ReadId, Round};
use crate::{Chunk, Entry, Position};

/// Content of a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Asks a process whether its data folder is empty, before a group is founded.
    #[serde(rename = "Ask")]
    FoundingQuery,
    /// Answers [`Body::FoundingQuery`].
    #[serde(rename = "Tell")]
    FoundingReply {
        /// Data folder of the process that asked.
        #[serde(rename = "asked")]
        asker_disk: DiskId,
        /// Whether the sender belongs to a group.
        founded: bool,
        /// Whether the sender is configured as a spare.
        spare: bool,
    },
    /// Asks the leader to add the sender as a learner.
    Join,
    /// Asks whether the receiver would vote for the sender in the message's term.
    PreVote {
        /// Last entry of the sender's log.
        last: Position,
    },
    /// Answers [`Body::PreVote`].
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote in the message's term.
    Vote {
        /// Last entry of the sender's log.
        last: Position,
        /// Whether the leader of the previous term transferred its leadership to the sender.
        transfer: bool,
    },
    /// Answers [`Body::Vote`].
    VoteReply {
        /// Whether the vote is granted; a granted vote is synced before this reply is sent.
        granted: bool,
    },
    /// Appends entries; a heartbeat if there are none.
    Append {
        /// Position of the entry that precedes `entries`.
        prev: Position,
        /// Entries in ascending order, without gaps.
        entries: Vec<Entry>,
        /// Last entry that the leader knows to be committed.
        commit: Index,
        /// Heartbeat round of the leader.
        round: Round,
    },
    /// Answers [`Body::Append`]: the logs match up to `matched`.
    Accepted {
        /// Last entry that matches the leader's log and is synced.
        matched: Index,
        /// Heartbeat round that is answered.
        round: Round,
    },
    /// Answers [`Body::Append`]: the log lacks the preceding entry.
    Rejected {
        /// Index that was not found.
        prev: Index,
        /// Entry after which the leader should try next.
        hint: Index,
        /// Heartbeat round that is answered.
        round: Round,
    },
    /// Sends a chunk of a snapshot.
    Chunk {
        /// The chunk.
        chunk: Chunk,
        /// Heartbeat round of the leader.
        round: Round,
    },
    /// Answers [`Body::Chunk`].
    Received {
        /// Last entry that the snapshot covers.
        index: Index,
        /// Number of bytes of the snapshot that the sender has stored.
        offset: u64,
        /// Heartbeat round that is answered.
        round: Round,
    },
    /// Tells a voter that the leader stepped down and that it is to start an election at once.
    #[serde(rename = "Succeed")]
    TimeoutNow,
    /// Asks the leader for a read barrier.
    Read {
        /// Id of the barrier.
        id: ReadId,
    },
    /// Answers [`Body::Read`].
    ReadReply {
        /// Id of the barrier.
        id: ReadId,
        /// Entry that must be applied before the read; `None` if the sender is not the leader.
        index: Option<Index>,
    },
}
