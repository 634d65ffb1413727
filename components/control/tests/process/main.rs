//! Control processes, entries' members and operators on loopback.

mod allowance;
mod announcements;
mod claims;
mod fleet_of_one;
mod group;
mod group_of_three;
mod numbered;
mod relay;
mod silence;
mod submissions;
