//! Answers readiness checks and serves the metrics page.

use std::rc::Rc;

use bytes::Bytes;
use hickoryhall_edge::{CallerConnection, Handler, RequestBody, ResponseBody, StreamAborted};
use hickoryhall_telemetry::MetricsPage;
use hyper::{Request, Response, StatusCode};
use tokio::sync::watch;

use crate::core::CoreHandle;

/// Answers the load balancer's readiness checks: ready with a table and while not stopping.
pub(super) struct Readiness {
    pub core: CoreHandle,
    pub stopping: watch::Receiver<bool>,
}

impl Handler for Readiness {
    async fn handle(
        self: Rc<Self>,
        _request: Request<RequestBody>,
        _caller: Rc<CallerConnection>,
    ) -> Result<Response<ResponseBody>, StreamAborted> {
        let has_table = self.core.with(|core, _| core.table().is_some());
        let (status, text) = match (has_table, *self.stopping.borrow()) {
            (_, true) => (StatusCode::SERVICE_UNAVAILABLE, "stopping"),
            (false, false) => (StatusCode::SERVICE_UNAVAILABLE, "no table"),
            (true, false) => (StatusCode::OK, "ready"),
        };
        let mut response = Response::new(ResponseBody::full(Bytes::from_static(text.as_bytes())));
        *response.status_mut() = status;
        Ok(response)
    }
}

/// Serves the metrics page.
pub(super) struct MetricsHandler(pub MetricsPage);

impl Handler for MetricsHandler {
    async fn handle(
        self: Rc<Self>,
        _request: Request<RequestBody>,
        _caller: Rc<CallerConnection>,
    ) -> Result<Response<ResponseBody>, StreamAborted> {
        let page = Bytes::from(self.0.render());
        Ok(Response::new(ResponseBody::full(page)))
    }
}
