//! A queue that shares a service between client accounts by weight within each priority level.

use std::collections::VecDeque;

use config::ids::AccountId;
use config::text::Priority;
use indexmap::IndexMap;

/// Number of priority levels.
const PRIORITY_LEVELS: usize = 3;
/// Smallest weight, so that no account waits indefinitely.
const MIN_WEIGHT: f64 = 0.001;

/// The account on whose behalf an item waits, and the item's priority.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// The client account.
    pub account: AccountId,
    /// Weight of the account: its share relative to the other accounts of the same priority.
    pub weight: f64,
    /// Priority of the item.
    pub priority: Priority,
}

/// Waiting items: the highest priority first, and start-time fair queueing between the accounts of
/// one priority.
#[derive(Debug)]
pub struct Queue<T> {
    levels: [Level<T>; PRIORITY_LEVELS],
}

#[derive(Debug)]
struct Level<T> {
    flows: IndexMap<AccountId, Flow<T>>,
    /// Start tag of the item that was removed last, in items per unit of weight. 0 if no item
    /// waits.
    virtual_time: f64,
    waiting: usize,
}

#[derive(Debug)]
struct Flow<T> {
    /// Start tag of the flow's next item, in the unit of the virtual time.
    next_start_tag: f64,
    weight: f64,
    items: VecDeque<T>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Queue {
            levels: std::array::from_fn(|_| Level {
                flows: IndexMap::new(),
                virtual_time: 0.0,
                waiting: 0,
            }),
        }
    }
}

impl<T> Queue<T> {
    /// Adds an item at the end of its account's flow.
    pub fn push(&mut self, waiter: &Waiter, item: T) {
        let level = &mut self.levels[waiter.priority as usize];
        let virtual_time = level.virtual_time;
        let flow = level
            .flows
            .entry(waiter.account.clone())
            .or_insert_with(|| Flow {
                next_start_tag: virtual_time,
                weight: waiter.weight,
                items: VecDeque::new(),
            });
        if flow.items.is_empty() {
            flow.next_start_tag = flow.next_start_tag.max(virtual_time);
        }
        flow.weight = waiter.weight.max(MIN_WEIGHT);
        flow.items.push_back(item);
        level.waiting += 1;
    }

    /// Removes and returns the next item.
    pub fn pop(&mut self) -> Option<T> {
        self.levels.iter_mut().rev().find_map(Level::pop)
    }

    /// Returns an upper bound of the items that are served before a new item of `priority`.
    pub fn count_ahead(&self, priority: Priority) -> usize {
        self.levels[priority as usize..]
            .iter()
            .map(|level| level.waiting)
            .sum()
    }

    /// Reports whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.levels.iter().all(|level| level.waiting == 0)
    }
}

impl<T> Level<T> {
    fn pop(&mut self) -> Option<T> {
        let flow = self
            .flows
            .values_mut()
            .filter(|flow| !flow.items.is_empty())
            .min_by(|a, b| a.next_start_tag.total_cmp(&b.next_start_tag))?;
        let item = flow.items.pop_front()?;
        self.virtual_time = flow.next_start_tag;
        flow.next_start_tag += 1.0 / flow.weight;
        self.waiting -= 1;
        if self.waiting == 0 {
            self.flows.clear();
            self.virtual_time = 0.0;
        }
        Some(item)
    }
}
