//! Types shared by all hickoryhall crates.
//!
//! Ids are type aliases. A [`Refusal`] says at which step and server a request was refused and
//! whether it ran. Amounts are a [`TokenCount`] or a [`std::time::Duration`].
//!
//! ```
//! use hickoryhall_types::{Ran, Refusal, RefusalCode, Step};
//!
//! let refusal = Refusal::new(RefusalCode::Overloaded, Step::Admission, "fleet is full");
//! assert_eq!(refusal.ran, Ran::No);
//! ```

mod ids;
mod refusal;
mod rendezvous;

pub use ids::*;
pub use refusal::{Ran, Refusal, RefusalCode, Step};
pub use rendezvous::{hash_name, rank, rendezvous_score};
