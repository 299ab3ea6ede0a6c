//! Vocabulary shared by every hickoryhall package.
//!
//! Ids are type aliases, a [`Refusal`] says which step and peer refused a request and whether the
//! request ran, and a [`TokenCount`] or [`std::time::Duration`] carries every amount.
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
