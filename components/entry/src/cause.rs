//! Why a stream is moved to another upstream.

/// Cause of a move.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The upstream announced that it is being reclaimed.
    Reclaimed,
    /// The connection failed or closed before the end mark.
    Closed,
    /// No bytes arrived in time.
    Silent,
    /// The stream contained a wrong, repeated or missing token, or the upstream reported an error.
    Fault,
    /// The upstream refused the request with an answer that is defined as not run.
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

    /// Returns the name that is used in logs and metrics.
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
