//! Runs authenticated requests: picks a server, sends attempts, relays answers and retries.

mod answer;
mod attempt_group;
mod attempt_stream;
mod call;
mod claimed;
mod model;
mod request;

use hickoryhall_types::{Ran, Refusal, RefusalCode};

pub(crate) use answer::Answer;
pub(crate) use call::{ServiceRequest, run_service};
pub(crate) use model::run_model;
pub(crate) use request::{
    AnswerFormat, ModelRequest, RequestBody, estimate_prompt_tokens, fingerprint,
};

/// Corrects a refusal of a request by whether an earlier attempt may have run it.
///
/// A refusal as not run becomes one whose run is unknown, without retry advice. Its code becomes
/// `BackendFailed`, except that a passed deadline keeps its own.
fn after_attempts(refusal: Box<Refusal>, may_have_run: bool) -> Box<Refusal> {
    if !may_have_run || refusal.ran != Ran::No {
        return refusal;
    }
    let code = match refusal.code {
        RefusalCode::DeadlineExceeded => RefusalCode::DeadlineExceeded,
        _ => RefusalCode::BackendFailed,
    };
    Box::new(Refusal {
        code,
        ran: Ran::Unknown,
        retry_after_ms: None,
        ..*refusal
    })
}
