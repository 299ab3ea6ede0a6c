//! Background tasks that wait for the platform, the store or backend servers, each on its own
//! thread.

mod orders;
mod poller;
mod watcher;

pub(crate) use orders::run_orders;
pub(crate) use poller::run_poller;
pub(crate) use watcher::run_watcher;
