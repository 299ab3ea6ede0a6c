//! Regular work that waits on the platform and on backend servers, each on a thread of its own.

mod orders;
mod poller;
mod watcher;

pub(crate) use orders::run_orders;
pub(crate) use poller::run_poller;
pub(crate) use watcher::run_watcher;
