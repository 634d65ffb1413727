//! Token streams: parsing the events of engines, assembling the answer and encoding it for callers.

mod assembler;
mod encoder;
mod event;
mod sse;

pub use assembler::{Assembler, Fault, Step};
pub use encoder::{Api, DONE, Encoder, KEEP_ALIVE};
pub use event::{Event, Usage};
pub use sse::{Item, Parser};
