//! HTTP interface for operators: reads and changes the table and shows the state of the fleet.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use hickoryhall_http::{Method, Request, header, read_body, respond_json};
use hickoryhall_membership::HostInfo;
use hickoryhall_table::{CellConflict, Row, Table};
use hickoryhall_types::{Refusal, RefusalCode, Revision, Step};
use hickoryhall_wire::Peer;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::respond_refusal;
use crate::actors::{ClusterStatus, CoreMsg};
use crate::context::Context;
use crate::peers::fetch_table;
use crate::table_store::{ApplyError, TableChange};

/// Size limit for the body of `POST /admin/table`.
const MAX_CHANGE_BYTES: usize = 32 << 20;

/// Body of `POST /admin/table`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TableChangeBody {
    id: String,
    author: String,
    /// Rows that the operator started from.
    base: Vec<Row>,
    /// Rows after the operator's edits.
    rows: Vec<Row>,
}

/// State of one host in the answer to `GET /admin/status`.
#[derive(Serialize)]
struct HostState {
    host: String,
    failure_domain: String,
    /// Revision of the table in use there; `None` if the host did not answer.
    revision: Option<Revision>,
    /// Why the host did not answer; `None` if it did.
    error: Option<String>,
}

/// Answers a request of an operator, who must send the operator key.
pub(super) fn handle(context: &Arc<Context>, request: Request, method: &Method, path: &str) {
    if !is_operator(context, &request) {
        let message = "Authorization is not the operators' key";
        let refusal = Refusal::new(RefusalCode::UnknownKey, Step::Authenticate, message);
        return respond_refusal(request, "", &refusal);
    }
    match (method, path) {
        (&Method::GET, "/admin/table") => serve_table(context, request),
        (&Method::POST, "/admin/table") => serve_change(context, request),
        (&Method::GET, "/admin/history") => {
            respond_json(request, 200, &context.table.get().head.history);
        }
        (&Method::GET, "/admin/status") => serve_status(context, request),
        _ => respond_json(request, 404, &json!({"error": "no such path"})),
    }
}

fn is_operator(context: &Context, request: &Request) -> bool {
    let key = header(request, "Authorization").and_then(|value| value.strip_prefix("Bearer "));
    let expected = blake3::Hash::from_hex(&context.settings.operator_key_hash);
    match (key, expected) {
        // Hashes are compared in constant time, so timing reveals nothing about the key.
        (Some(key), Ok(expected)) => blake3::hash(key.trim().as_bytes()) == expected,
        _ => false,
    }
}

fn serve_table(context: &Context, request: Request) {
    let table = context.table.get();
    let rows = table.table.rows().collect::<Vec<_>>();
    respond_json(
        request,
        200,
        &json!({"revision": table.head.revision, "rows": rows}),
    );
}

fn serve_change(context: &Context, mut request: Request) {
    let change = read_body(&mut request, MAX_CHANGE_BYTES)
        .map_err(|error| error.to_string())
        .and_then(|body| parse_change(&body));
    let change = match change {
        Ok(change) => change,
        Err(message) => {
            let refusal = Refusal::new(RefusalCode::BadRequest, Step::Table, message);
            return respond_refusal(request, "", &refusal);
        }
    };
    match context.table_store.apply(&change) {
        Ok(applied) => {
            let head = applied.head.clone();
            let body = json!({"revision": applied.revision, "rows": applied.table.len()});
            context.core.send(CoreMsg::Table {
                head,
                table: Box::new(applied.table),
            });
            // Messages are handled in order: when the status arrives, the new table is in use, so
            // an operator who reads it back from this host sees the change.
            let _ = context.core.ask(|reply| CoreMsg::Status { reply });
            respond_json(request, 200, &body);
        }
        Err(ApplyError::Conflict(conflicts)) => {
            let conflicts = conflicts.iter().map(conflict_body).collect::<Vec<_>>();
            let body = json!({"code": "conflict", "ran": "no", "clashes": conflicts});
            respond_json(request, 409, &body);
        }
        Err(error) => {
            let ran = match error {
                ApplyError::InDoubt(_) => hickoryhall_types::Ran::Unknown,
                _ => hickoryhall_types::Ran::No,
            };
            let message = error.to_string();
            let refusal = Refusal::new(RefusalCode::StoreUnavailable, Step::Table, message);
            respond_refusal(request, "", &refusal.ran(ran));
        }
    }
}

fn parse_change(body: &[u8]) -> Result<TableChange, String> {
    let body =
        serde_json::from_slice::<TableChangeBody>(body).map_err(|error| error.to_string())?;
    let rows = serde_json::to_string(&body.rows).map_err(|error| error.to_string())?;
    // Validates the rows in the same way as a JSON sheet; errors give the line and column.
    let edited = Table::from_json(&rows).map_err(|errors| errors.to_string())?;
    if body.id.is_empty() {
        return Err("the change has no id".to_owned());
    }
    Ok(TableChange {
        id: body.id,
        author: body.author,
        base: body.base.into_iter().collect(),
        edited,
        at_s: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs(),
    })
}

fn conflict_body(conflict: &CellConflict) -> Value {
    json!({
        "workspace": conflict.key.workspace,
        "target": conflict.key.target,
        "column": conflict.column,
        "theirs": conflict.theirs,
        "ours": conflict.ours,
    })
}

fn serve_status(context: &Arc<Context>, request: Request) {
    let Some(status) = context.core.ask(|reply| CoreMsg::Status { reply }) else {
        return respond_json(request, 503, &json!({"error": "shutting down"}));
    };
    let own = HostState {
        host: context.settings.host.clone(),
        failure_domain: context.settings.failure_domain.clone(),
        revision: Some(status.revision),
        error: None,
    };
    let mut hosts = vec![own];
    hosts.extend(query_hosts(context, &status));
    let body = json!({
        "revision": status.revision,
        "older_offers": status.older_offers,
        "live": status.live.len() + 1,
        "hosts": hosts,
    });
    respond_json(request, 200, &body);
}

/// Asks every known peer for its table revision, all concurrently.
fn query_hosts(context: &Arc<Context>, status: &ClusterStatus) -> Vec<HostState> {
    let (sender, receiver) = crossbeam_channel::unbounded();
    for info in &status.others {
        let context = Arc::clone(context);
        let sender = sender.clone();
        let info = info.clone();
        let query_context = Arc::clone(&context);
        // Where no worker is free, the host is missing from the answer.
        let _ = context
            .upstream_pool
            .run(move || drop(sender.send(query_host(&query_context, &info))));
    }
    drop(sender);
    let mut hosts = receiver.iter().collect::<Vec<_>>();
    hosts.sort_by(|a, b| (&a.failure_domain, &a.host).cmp(&(&b.failure_domain, &b.host)));
    hosts
}

fn query_host(context: &Context, info: &HostInfo) -> HostState {
    let local_peer = Peer {
        host: context.settings.host_info().hash,
        incarnation: context.incarnation,
    };
    let keyring = hickoryhall_wire::Keyring::new(&context.settings.peer_secrets);
    let own_revision = context.table.revision();
    let answer = fetch_table(
        info.address,
        info.hash,
        local_peer,
        &keyring,
        context.next_id(),
        own_revision,
    );
    let (revision, error) = match answer {
        Ok((head, _)) => (Some(head.revision), None),
        Err(error) => (None, Some(error.to_string())),
    };
    HostState {
        host: info.id.to_string(),
        failure_domain: info.domain.to_string(),
        revision,
        error,
    }
}
