//! Shared parts of prompts stay cached while engines come and go, simulated without a network.

mod days;
mod engine;
mod traffic;
mod world;
