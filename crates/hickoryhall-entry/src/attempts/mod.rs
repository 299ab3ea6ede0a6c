//! Runs authenticated requests: picks a server, sends attempts, relays answers and retries.

mod answer;
mod attempt_group;
mod attempt_stream;
mod call;
mod claimed;
mod model;
mod request;

pub(crate) use answer::Answer;
pub(crate) use call::{ServiceRequest, run_service};
pub(crate) use model::run_model;
pub(crate) use request::{
    AnswerFormat, ModelRequest, RequestBody, estimate_prompt_tokens, fingerprint,
};
