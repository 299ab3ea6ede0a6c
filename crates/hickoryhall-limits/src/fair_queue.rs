//! Weighted fair queueing between workspaces, with deadlines and load shedding.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Instant;

use hickoryhall_types::WorkspaceId;

/// An item to be queued, with the properties that decide its position.
#[derive(Clone, Debug, PartialEq)]
pub struct Queued<T> {
    /// Workspace that the item belongs to.
    pub workspace: WorkspaceId,
    /// Weight of the workspace, proportional to its share of the service; 0 counts as 1.
    pub weight: u32,
    /// Cost of serving the item, in a unit that is the same for all items of a queue.
    pub cost: f64,
    /// Time from which the item counts as expired.
    pub deadline: Instant,
    /// The queued value itself.
    pub item: T,
}

/// An item that was dropped from the queue without being served, and why.
#[derive(Clone, Debug, PartialEq)]
pub enum Shed<T> {
    /// The item's deadline passed.
    Expired(T),
    /// The queue was full and the item's workspace exceeded its share the most.
    OverShare(T),
}

#[derive(Clone, Debug)]
struct WorkspaceQueue<T> {
    waiting: VecDeque<Queued<T>>,
    cost: f64,
    next_start: f64,
}

/// Queue that serves workspaces in proportion to their weights.
///
/// Each workspace has its own queue with a virtual start time, which grows by cost divided by
/// weight with each item served; the queue with the lowest start time is served next.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    queues: BTreeMap<WorkspaceId, WorkspaceQueue<T>>,
    /// Virtual start time of each recently served workspace, kept while its queue is empty so that
    /// it cannot get ahead by leaving and returning.
    next_starts: HashMap<WorkspaceId, f64>,
    virtual_time: f64,
    length: usize,
    limit: usize,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue that holds at most `limit` items.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            queues: BTreeMap::new(),
            next_starts: HashMap::new(),
            virtual_time: 0.0,
            length: 0,
            limit: limit.max(1),
        }
    }

    /// Adds an item.
    ///
    /// If the queue is full, removes and returns the newest item of the workspace that exceeds its
    /// share the most, which may be the item just added.
    pub fn push(&mut self, queued: Queued<T>) -> Option<Shed<T>> {
        let start = self
            .next_starts
            .get(&queued.workspace)
            .copied()
            .unwrap_or(0.0);
        let start = start.max(self.virtual_time);
        let queue = self
            .queues
            .entry(queued.workspace.clone())
            .or_insert_with(|| WorkspaceQueue {
                waiting: VecDeque::new(),
                cost: 0.0,
                next_start: start,
            });
        queue.cost += queued.cost;
        queue.waiting.push_back(queued);
        self.length += 1;
        if self.length > self.limit {
            self.shed_over_share()
        } else {
            None
        }
    }

    /// Removes and returns the next item.
    pub fn pop(&mut self) -> Option<Queued<T>> {
        let workspace = self.next_workspace()?;
        self.take_front(&workspace)
    }

    /// Returns the first item of each workspace, in the order in which they would be served.
    #[must_use]
    pub fn fronts(&self) -> Vec<&Queued<T>> {
        let mut queues = self.queues.values().collect::<Vec<_>>();
        queues.sort_by(|a, b| a.next_start.total_cmp(&b.next_start));
        queues
            .into_iter()
            .filter_map(|queue| queue.waiting.front())
            .collect()
    }

    /// Removes and returns the first item of a workspace, which counts as served.
    pub fn take_front(&mut self, workspace: &WorkspaceId) -> Option<Queued<T>> {
        let queue = self.queues.get_mut(workspace)?;
        let queued = queue.waiting.pop_front()?;
        self.length -= 1;
        self.virtual_time = self.virtual_time.max(queue.next_start);
        queue.cost -= queued.cost;
        queue.next_start += queued.cost / f64::from(queued.weight.max(1));
        self.next_starts.insert(workspace.clone(), queue.next_start);
        self.drop_if_empty(workspace);
        Some(queued)
    }

    /// Removes and returns every item whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<Shed<T>> {
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            let is_late = |queued: &Queued<T>| queued.deadline <= now;
            let (late, waiting): (VecDeque<_>, _) = queue.waiting.drain(..).partition(is_late);
            queue.waiting = waiting;
            queue.cost -= late.iter().map(|queued| queued.cost).sum::<f64>();
            expired.extend(late.into_iter().map(|queued| Shed::Expired(queued.item)));
        }
        self.length -= expired.len();
        self.queues.retain(|_, queue| !queue.waiting.is_empty());
        let virtual_time = self.virtual_time;
        self.next_starts.retain(|_, start| *start > virtual_time);
        expired
    }

    /// Estimates the total cost of the items that would be served before a new item of a workspace.
    #[must_use]
    pub fn cost_ahead(&self, workspace: &WorkspaceId, weight: u32) -> f64 {
        let weight = f64::from(weight.max(1));
        let own = self.queues.get(workspace).map_or(0.0, |queue| queue.cost);
        let finish = own / weight;
        let others = self.queues.iter().filter(|(other, _)| *other != workspace);
        let ahead = others.map(|(_, queue)| {
            let other = queue
                .waiting
                .front()
                .map_or(1.0, |queued| f64::from(queued.weight.max(1)));
            queue.cost.min(finish * other)
        });
        own + ahead.sum::<f64>()
    }

    /// Returns the number of queued items of all workspaces.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    fn next_workspace(&self) -> Option<WorkspaceId> {
        let (workspace, _) = self
            .queues
            .iter()
            .min_by(|(_, a), (_, b)| a.next_start.total_cmp(&b.next_start))?;
        Some(workspace.clone())
    }

    fn shed_over_share(&mut self) -> Option<Shed<T>> {
        let share = |queue: &WorkspaceQueue<T>| {
            let weight = queue
                .waiting
                .front()
                .map_or(1, |queued| queued.weight.max(1));
            queue.cost / f64::from(weight)
        };
        let (workspace, _) = self
            .queues
            .iter()
            .max_by(|(_, a), (_, b)| share(a).total_cmp(&share(b)))?;
        let workspace = workspace.clone();
        let queue = self.queues.get_mut(&workspace)?;
        let shed = queue.waiting.pop_back()?;
        queue.cost -= shed.cost;
        self.length -= 1;
        self.drop_if_empty(&workspace);
        Some(Shed::OverShare(shed.item))
    }

    fn drop_if_empty(&mut self, workspace: &WorkspaceId) {
        if self
            .queues
            .get(workspace)
            .is_some_and(|queue| queue.waiting.is_empty())
        {
            self.queues.remove(workspace);
        }
    }
}
