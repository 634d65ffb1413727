//! Days of a service in an emulated cloud, which takes back whole data centres and is then sold out.
//! They compare the plan by work with that by requests.

mod cloud;
mod day;
mod load;
mod orders;
mod random;
mod reserve;
mod start;
mod totals;
