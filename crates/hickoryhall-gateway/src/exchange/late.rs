//! Reads what servers say in answers that nobody waits for any more.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hickoryhall_edge::{AbandonedResponse, Connection};
use metrics::counter;
use slog::info;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;

use super::Gateway;
use crate::interface::{Platform, RequestMeta};
use crate::outcome::ResponseKind;
use crate::registry::BackendServer;

/// Time for which a late answer is awaited.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of late answers that are awaited at the same time.
const MAX_LATE_ANSWERS: usize = 64;

/// Connection on which a request was sent. If it is dropped before its response arrives, the response may
/// still be read.
pub(super) struct PendingResponse {
    connection: Option<Connection>,
    server: BackendServer,
    meta: Rc<RequestMeta>,
    sent_at: Instant,
    late_answers: UnboundedSender<LateAnswer>,
}

/// An answer that nobody waits for.
pub(super) struct LateAnswer {
    response: AbandonedResponse,
    server: BackendServer,
    meta: Rc<RequestMeta>,
    sent_at: Instant,
}

impl PendingResponse {
    pub fn new<P: Platform>(
        gateway: &Gateway<P>,
        connection: Connection,
        server: &BackendServer,
        meta: &Rc<RequestMeta>,
    ) -> Self {
        Self {
            connection: Some(connection),
            server: server.clone(),
            meta: Rc::clone(meta),
            sent_at: Instant::now(),
            late_answers: gateway.late_answers.clone(),
        }
    }

    pub fn connection(&mut self) -> &mut Connection {
        self.connection
            .as_mut()
            .expect("the connection is kept until the response arrives")
    }

    /// Returns the connection, as the response has arrived or there is none.
    pub fn end(mut self) -> Connection {
        self.connection
            .take()
            .expect("the connection is kept until the response arrives")
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        let response = self.connection.take().and_then(Connection::abandon);
        if let Some(response) = response {
            let late = LateAnswer {
                response,
                server: self.server.clone(),
                meta: Rc::clone(&self.meta),
                sent_at: self.sent_at,
            };
            // The receiver ends with the process.
            let _ = self.late_answers.send(late);
        }
    }
}

impl<P: Platform> Gateway<P> {
    /// Reads late answers until the task is dropped.
    pub async fn read_late_answers(self: &Rc<Self>) {
        let Some(mut late_answers) = self.abandoned.take() else {
            return;
        };
        let awaited = Rc::<Cell<usize>>::default();
        while let Some(late) = late_answers.recv().await {
            if awaited.get() >= MAX_LATE_ANSWERS {
                continue;
            }
            awaited.set(awaited.get() + 1);
            let (gateway, awaited) = (Rc::clone(self), Rc::clone(&awaited));
            spawn_local(async move {
                gateway.read_late_answer(late).await;
                awaited.set(awaited.get() - 1);
            });
        }
    }

    async fn read_late_answer(&self, late: LateAnswer) {
        let LateAnswer {
            response,
            server,
            meta,
            sent_at,
        } = late;
        let is_kept = response.is_reused();
        let Some(head) = response.head(LATE_ANSWER_TIMEOUT).await else {
            return;
        };
        let said = self.platform.parse_response_head(&head, &meta);
        let kind = ResponseKind::of(head.status, &said, is_kept);
        counter!("late_answers_total").increment(1);
        info!(
            self.logger, "exchange: Late answer read.";
            "request" => &*meta.request_id, "server" => &*server.id,
            "incarnation" => server.incarnation, "status" => head.status.as_u16(),
            "leaving" => said.is_leaving,
            "pause_ms" => said.pause.map(|pause| pause.as_millis())
        );
        self.core.with(|core, now| {
            core.on_response_head(now, &server, kind, &said);
            if kind.is_from_server() {
                core.on_stated_limit(now, &server, said.limit, sent_at);
                core.on_refusal_limit(now, &server, said.refusal_limit, sent_at);
            }
        });
    }
}
