//! Shared parts of prompts stay cached while engines come and go, simulated without a network.

mod counts;
mod days;
mod engine;
mod group;
mod levels;
mod places;
mod requests;
mod sources;
mod start;
mod totals;
mod traffic;
mod world;
