//! A queue that shares a service between client accounts by weight, within each priority.

use std::collections::VecDeque;

use config::ids::AccountId;
use config::text::Priority;
use indexmap::IndexMap;

/// Count of priorities.
const PRIORITIES: usize = 3;
/// Smallest weight, so that no account waits for ever.
const MIN_WEIGHT: f64 = 0.001;

/// Whose item it is, and how urgent.
#[derive(Clone, Debug)]
pub struct Place {
    /// The client account.
    pub account: AccountId,
    /// Its weight.
    pub weight: f64,
    /// Priority of the item.
    pub priority: Priority,
}

/// Waiting items, served by start-time fair queueing.
#[derive(Debug)]
pub struct Queue<T> {
    levels: [Level<T>; PRIORITIES],
}

#[derive(Debug)]
struct Level<T> {
    lanes: IndexMap<AccountId, Lane<T>>,
    virtual_time: f64,
    waiting: usize,
}

#[derive(Debug)]
struct Lane<T> {
    start: f64,
    weight: f64,
    items: VecDeque<T>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Queue {
            levels: std::array::from_fn(|_| Level {
                lanes: IndexMap::new(),
                virtual_time: 0.0,
                waiting: 0,
            }),
        }
    }
}

impl<T> Queue<T> {
    /// Adds an item.
    pub fn push(&mut self, place: &Place, item: T) {
        let level = &mut self.levels[place.priority as usize];
        let virtual_time = level.virtual_time;
        let lane = level
            .lanes
            .entry(place.account.clone())
            .or_insert_with(|| Lane {
                start: virtual_time,
                weight: place.weight,
                items: VecDeque::new(),
            });
        if lane.items.is_empty() {
            lane.start = lane.start.max(virtual_time);
        }
        lane.weight = place.weight.max(MIN_WEIGHT);
        lane.items.push_back(item);
        level.waiting += 1;
    }

    /// Takes the item whose turn it is.
    pub fn pop(&mut self) -> Option<T> {
        self.levels.iter_mut().rev().find_map(Level::pop)
    }

    /// Returns how many items are served before a new one of `priority`, at most.
    pub fn ahead_of(&self, priority: Priority) -> usize {
        self.levels[priority as usize..]
            .iter()
            .map(|level| level.waiting)
            .sum()
    }

    /// Reports whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.levels.iter().all(|level| level.waiting == 0)
    }
}

impl<T> Level<T> {
    fn pop(&mut self) -> Option<T> {
        let lane = self
            .lanes
            .values_mut()
            .filter(|lane| !lane.items.is_empty())
            .min_by(|a, b| a.start.total_cmp(&b.start))?;
        let item = lane.items.pop_front()?;
        self.virtual_time = lane.start;
        lane.start += 1.0 / lane.weight;
        self.waiting -= 1;
        if self.waiting == 0 {
            self.lanes.clear();
            self.virtual_time = 0.0;
        }
        Some(item)
    }
}
