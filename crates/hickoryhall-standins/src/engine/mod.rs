//! Stand-in for a model engine, the server process of a runner.

mod cache;
mod model;
mod protocol;
mod server;
mod text;

pub use cache::PrefixCache;
pub use model::{EngineConfig, EngineEvent, Job, JobId, Piece, PieceKey, SimulatedEngine};
pub use protocol::{EngineFaults, Fault, LoadBody, Message, Order, OrderBody, PromptBody};
pub use server::EngineServer;
pub use text::{continuation_start, expected_answer, pieces_of, token_text};
