//! Finds the software version at which a stream goes on that a caller takes up.

use std::time::Duration;

use hickoryhall_types::{Ran, hash_name};
use hyper::StatusCode;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::Exchange;
use super::attempt::OpenStream;
use crate::interface::{LocalFailure, Platform};
use crate::stream_versions::StreamQuestion;

/// Time within which peers answer, a lost message and the first digest to a host that has just
/// started included.
const INQUIRY_TIMEOUT: Duration = Duration::from_millis(250);

impl<P: Platform> Exchange<P> {
    /// Finds out at which software version the stream goes on, if the caller takes one up. Returns
    /// the failure if nobody knows: the caller has to begin anew.
    pub(super) async fn find_software(&mut self) -> Option<LocalFailure> {
        let meta = &self.request.meta;
        let is_known = self.software.is_some();
        if is_known || !self.request.route.kind.is_stream() || meta.last_event_id.is_none() {
            return None;
        }
        let stream = meta.resumed_request_id.as_ref();
        let question = StreamQuestion {
            stream: stream.map(|id| hash_name(id)),
            service: hash_name(&self.request.service),
        };
        let core = &self.gateway.core;
        let (reply, answer) = oneshot::channel();
        core.with(|core, now| core.take_up(now, question, reply));
        tokio::pin!(answer);
        if let Ok(answer) = timeout(INQUIRY_TIMEOUT, answer.as_mut()).await {
            self.software = answer.unwrap_or_default();
        } else {
            core.with(|core, now| core.end_inquiry(now, &question));
            self.software = answer.await.unwrap_or_default();
        }
        self.software.is_none().then_some(LocalFailure {
            status: StatusCode::SERVICE_UNAVAILABLE,
            ran: Ran::No,
            retry_after: None,
            reason: "version_unknown",
        })
    }

    /// Records which server sends the first event of the stream; from now on it goes on at the same
    /// software version only.
    pub(super) fn stream_began(&mut self, began: &OpenStream) {
        let Some(server) = began.source.server() else {
            // The peer records it.
            let software = Some(&began.software).filter(|software| !software.is_empty());
            self.software = self
                .software
                .or(software.map(|software| hash_name(software)));
            return;
        };
        let stream = hash_name(self.request.meta.first_request_id());
        let is_resumable = self.request.route.kind.may_repeat();
        let began = self.gateway.core.with(|core, now| {
            if is_resumable {
                core.record_stream(now, stream, server);
            }
            core.software_of(server)
        });
        // That of a stream that was taken up is known already.
        self.software = self.software.or(began);
    }
}
