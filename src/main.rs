//! The chervilloft command.

fn main() {}
