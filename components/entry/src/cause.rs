//! Why a stream goes on at another upstream.

/// Cause of a move.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The upstream announced that it is being reclaimed.
    Reclaimed,
    /// The connection failed or closed before the end mark.
    Closed,
    /// Nothing came for too long.
    Silent,
    /// The stream held a wrong, repeated or missing token.
    Fault,
    /// The upstream refused in a way that is defined as not run.
    Rejected,
    /// The upstream could not be reached.
    Unreachable,
}

impl Cause {
    /// All causes.
    pub const ALL: [Cause; 6] = [
        Cause::Reclaimed,
        Cause::Closed,
        Cause::Silent,
        Cause::Fault,
        Cause::Rejected,
        Cause::Unreachable,
    ];

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Reclaimed => "reclaimed",
            Cause::Closed => "closed",
            Cause::Silent => "silent",
            Cause::Fault => "fault",
            Cause::Rejected => "rejected",
            Cause::Unreachable => "unreachable",
        }
    }
}
