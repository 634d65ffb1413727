//! Calls of plain services.

mod call;
mod hedge;
mod keyed;
mod serve;

pub(crate) use serve::serve;
