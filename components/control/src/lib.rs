//! The control process: keeps the replicated state and answers entries and operators.

pub mod replica;
