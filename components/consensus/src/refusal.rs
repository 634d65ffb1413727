//! Refused requests.

use quick_error::quick_error;

use crate::Member;

quick_error! {
    /// Reason why a node refused a request; a refused request has no effect.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Refusal {
        /// This node is not the leader, or no other voter that could take over the leadership has
        /// answered within the election timeout.
        NotLeader(leader: Option<Member>) {
            display("this node is not the leader; the leader is {}",
                leader.as_ref().map_or_else(|| String::from("not known"), Member::to_string))
        }
        /// The leader is transferring its leadership.
        Transferring {
            display("the leader is transferring its leadership")
        }
        /// The uncommitted entries exceed `max_uncommitted_bytes`; holds their size in bytes.
        Overloaded(bytes: usize) {
            display("{bytes} bytes of entries are uncommitted, which is above the limit")
        }
        /// A membership change or a leadership transfer is in progress, or the leader has not
        /// committed an entry of its own term.
        ChangeInProgress {
            display("a membership change or a leadership transfer is in progress, or no entry of \
                this term is committed")
        }
    }
}
