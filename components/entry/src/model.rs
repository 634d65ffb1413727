//! Calls of models through the chat completions and completions APIs.

mod attempt;
mod call;
mod detach;
mod follow;
mod list;
mod reclaim;
mod relay;
mod resume;
mod serve;
mod sink;
mod transfer;

pub(crate) use call::Call;
pub(crate) use list::list;
pub(crate) use resume::resume;
pub(crate) use serve::serve;
