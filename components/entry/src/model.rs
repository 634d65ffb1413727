//! Calls of the published chat-completions and completions API.

mod attempt;
mod call;
mod follow;
mod list;
mod park;
mod plan;
mod relay;
mod resume;
mod serve;
mod sink;
mod transfer;

pub(crate) use call::Call;
pub(crate) use list::list;
pub(crate) use resume::resume;
pub(crate) use serve::serve;
