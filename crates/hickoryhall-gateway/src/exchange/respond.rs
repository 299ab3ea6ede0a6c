//! Ends requests: what callers are told.

use hickoryhall_edge::ResponseBody;
use hickoryhall_types::Ran;
use hyper::Response;

use super::Exchange;
use super::attempt::BufferedResponse;
use crate::forwarding::ReachedServer;
use crate::interface::{LocalFailure, Platform};
use crate::outcome::{Ending, RETRY_AFTER_REFUSED};
use crate::scheduler::{PlacementRefusal, RefusalReason};

impl<P: Platform> Exchange<P> {
    pub(super) fn respond_refused(mut self, refusal: PlacementRefusal) -> Response<ResponseBody> {
        let time_left = self.time_left();
        let reason = refusal.reason.as_str();
        let mut ending = self.outcome.end(time_left, refusal.retry_after, reason);
        if let (RefusalReason::VersionGone, Ending::Fail(failure)) = (refusal.reason, &mut ending) {
            // It does not come back: the caller has to begin anew.
            failure.retry_after = None;
        }
        self.respond_ending(ending)
    }

    /// Responds to a request whose retry the budget does not allow any more after a wait.
    pub(super) fn respond_late_retry(mut self) -> Response<ResponseBody> {
        let time_left = self.time_left();
        let ending = self
            .outcome
            .end(time_left, RETRY_AFTER_REFUSED, "retry_budget");
        self.respond_ending(ending)
    }

    pub(super) fn respond_ending(self, ending: Ending<BufferedResponse>) -> Response<ResponseBody> {
        match ending {
            Ending::Relay(response) => self.respond(response),
            Ending::Fail(failure) => self.respond_failure(failure),
        }
    }

    /// Passes on the failure that a peer generated, unless an earlier attempt makes its promise untrue.
    pub(super) fn respond_peer_failure(
        mut self,
        response: BufferedResponse,
        ran: Ran,
    ) -> Response<ResponseBody> {
        let (time_left, status) = (self.time_left(), response.status);
        match self
            .outcome
            .on_peer_failure(response, status, ran, time_left)
        {
            Ending::Relay(response) => {
                self.record.failed_at_peer(response.status, ran);
                response.into_response()
            }
            Ending::Fail(failure) => self.respond_failure(failure),
        }
    }

    pub(super) fn respond_failure(mut self, failure: LocalFailure) -> Response<ResponseBody> {
        self.record.failed(&failure);
        let id = &self.request.meta.request_id;
        let mut response = self.gateway.error_response(Some(id), &failure);
        if self.has_reached_server {
            response.extensions_mut().insert(ReachedServer);
        }
        response
    }

    pub(super) fn respond(mut self, response: BufferedResponse) -> Response<ResponseBody> {
        self.record.answered(response.status);
        response.into_response()
    }
}

impl BufferedResponse {
    fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::full(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}
