//! Dispatches HTTP requests to handlers by method and path.

use std::sync::Arc;

use hickoryhall_http::{Caller, Method, Request, respond_bytes, respond_json};
use serde_json::json;

use super::admin;
use super::requests::{serve_model, serve_service};
use crate::attempts::AnswerFormat;
use crate::context::Context;

/// Answers one HTTP request.
pub(crate) fn handle(context: &Arc<Context>, request: Request, caller: Caller) {
    let url = request.path_and_query().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let method = request.method().clone();
    match (method, path) {
        (Method::POST, "/v1/chat/completions") => {
            serve_model(context, request, caller, AnswerFormat::Chat);
        }
        (Method::POST, "/v1/completions") => {
            serve_model(context, request, caller, AnswerFormat::Completion);
        }
        (Method::POST, path) if path.starts_with("/svc/") => {
            serve_service(context, request, path);
        }
        (Method::GET, "/healthz") => {
            let is_ok = !context.lifecycle.has_failed();
            respond_json(
                request,
                if is_ok { 200 } else { 500 },
                &json!({"ok": is_ok}),
            );
        }
        (Method::GET, "/readyz") => serve_readiness(context, request),
        (Method::GET, "/metrics") => {
            let page = context.metrics.render().into_bytes();
            respond_bytes(
                request,
                200,
                &[("Content-Type", "text/plain; version=0.0.4")],
                page,
            );
        }
        (Method::GET, "/debug/traces") => {
            respond_json(
                request,
                200,
                &context.spans.spans(query_parameter(query, "trace_id")),
            );
        }
        (Method::GET, "/debug/explain") => {
            let id = query_parameter(query, "request_id").unwrap_or_default();
            respond_json(request, 200, &context.decisions.of_request(id));
        }
        (method, path) if path.starts_with("/admin/") => {
            admin::handle(context, request, &method, path);
        }
        _ => respond_json(request, 404, &json!({"error": "no such path"})),
    }
}

fn serve_readiness(context: &Context, request: Request) {
    let is_ready = context.is_ready();
    let body = json!({
        "ready": is_ready,
        "stopping": context.lifecycle.is_stopping(),
        "table_revision": context.table.revision(),
        "in_flight": context.lifecycle.in_flight(),
    });
    respond_json(request, if is_ready { 200 } else { 503 }, &body);
}

/// Returns the value of a query parameter, without percent-decoding.
fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(n, _)| *n == name)
        .map(|p| p.1)
}
