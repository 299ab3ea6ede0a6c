//! The platform's store: items, leases, watches and transactions.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, decode_query, read_body};
use crate::json::Json;

/// Interval at which a waiting watch looks for leases that have ended.
const LEASE_CHECK: Duration = Duration::from_millis(100);
/// Time that an answer takes, as on the sheet.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Item {
    /// Standard Base64, as it is on the wire.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key and text of each event.
    history: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

#[derive(Default)]
struct Shared {
    content: Mutex<Content>,
    changed: Condvar,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    /// Starts a store at a free port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let shared = Arc::<Shared>::default();
        let served = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&served);
                thread::spawn(move || serve(&shared, &stream));
            }
        });
        Self { address, shared }
    }

    /// Writes an item as the operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        let mut content = self.shared.content.lock().expect("no thread panics");
        content.put(key, base64(value.as_bytes()), 0);
        drop(content);
        self.shared.changed.notify_all();
    }
}

impl Content {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.history
            .push((revision, key.to_owned(), item.to_json(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = format!(
                r#"{{"key":"{key}","revision":{},"deleted":true}}"#,
                self.revision
            );
            self.history.push((self.revision, key.to_owned(), event));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, lease)| lease.ends <= now);
        let ended = ended.map(|(id, _)| *id).collect::<Vec<_>>();
        ended.into_iter().for_each(|id| self.end_lease(id));
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys = keys.map(|(key, _)| key.clone()).collect::<Vec<_>>();
        keys.iter().for_each(|key| self.remove(key));
    }
}

impl Item {
    fn to_json(&self, key: &str) -> String {
        format!(
            r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
            self.value, self.revision, self.created, self.lease
        )
    }
}

fn serve(shared: &Shared, stream: &TcpStream) {
    let mut writer = stream;
    let mut reader = BufReader::new(stream);
    while let Ok(head) = Head::read(&mut reader) {
        let Ok(body) = read_body(&head, &mut reader) else {
            return;
        };
        let (status, answer) = handle(shared, &head, &body);
        thread::sleep(ANSWER_TIME);
        let answer = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
            answer.len()
        );
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn handle(shared: &Shared, head: &Head, body: &[u8]) -> (u16, String) {
    let target = head.word(1);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), decode_query(value)));
    let query = query.collect::<BTreeMap<_, _>>();
    let text = |name: &str| query.get(name).map_or("", String::as_str);
    let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
    if path == "/-/kv-watch" {
        let wait = Duration::from_millis(number("wait-ms"));
        return watch(shared, text("path-prefix"), number("after"), wait);
    }
    let mut content = shared.content.lock().expect("no thread panics");
    content.expire();
    let (call, id) = path.rsplit_once('/').unwrap_or_default();
    let id = id.parse::<u64>().unwrap_or(0);
    let answer = match (path, call) {
        ("/-/kv-range", _) => {
            let (prefix, after) = (text("path-prefix"), text("after"));
            let items = content.items.iter();
            let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
            let items = items.map(|(key, item)| item.to_json(key));
            let items = items.collect::<Vec<_>>().join(",");
            let revision = content.revision;
            let answer =
                format!(r#"{{"items":[{items}],"more-pages":false,"store-revision":{revision}}}"#);
            (200, answer)
        }
        ("/-/kv-key", _) => match content.items.get(text("key")) {
            Some(item) => (200, item.to_json(text("key"))),
            None => (404, "{}".to_owned()),
        },
        ("/-/kv-txn", _) => transact(&mut content, body),
        ("/-/kv-lease", _) => {
            let request = Json::parse(body);
            let ttl_ms = request.as_ref().and_then(|body| body.field("ttl-ms"));
            let ttl_ms = ttl_ms.map_or(1_000, Json::number).max(1_000);
            content.last_lease += 1;
            let (id, ttl) = (content.last_lease, Duration::from_millis(ttl_ms));
            let ends = Instant::now() + ttl;
            content.leases.insert(id, Lease { ttl, ends });
            (200, format!(r#"{{"lease":{id},"ttl-ms":{ttl_ms}}}"#))
        }
        (_, "/-/kv-keep") => match content.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends = Instant::now() + lease.ttl;
                (200, "{}".to_owned())
            }
            None => (404, "{}".to_owned()),
        },
        (_, "/-/kv-lease-end") => {
            content.end_lease(id);
            (200, "{}".to_owned())
        }
        _ => (400, "{}".to_owned()),
    };
    drop(content);
    shared.changed.notify_all();
    answer
}

fn transact(content: &mut Content, body: &[u8]) -> (u16, String) {
    let body = Json::parse(body).unwrap_or(Json::Null);
    let rows = |name: &str| body.field(name).map_or(&[][..], Json::list);
    let text = |row: &Json, name: &str| row.field(name).map_or("", Json::text).to_owned();
    let number = |row: &Json, name: &str| row.field(name).map_or(0, Json::number);
    let mut is_expected = true;
    let mut found = Vec::new();
    for row in rows("expected") {
        let key = text(row, "key");
        let item = content.items.get(&key);
        is_expected &= item.map_or(0, |item| item.revision) == number(row, "revision");
        found.extend(item.map(|item| item.to_json(&key)));
    }
    if !is_expected {
        return (412, format!(r#"{{"items":[{}]}}"#, found.join(",")));
    }
    let has_lease = |row: &Json| {
        let lease = number(row, "lease");
        lease == 0 || content.leases.contains_key(&lease)
    };
    if !rows("writes").iter().all(has_lease) {
        return (404, "{}".to_owned());
    }
    for row in rows("writes") {
        let lease = number(row, "lease");
        content.put(&text(row, "key"), text(row, "value"), lease);
    }
    for key in rows("remove") {
        content.remove(key.text());
    }
    (200, format!(r#"{{"revision":{}}}"#, content.revision))
}

fn watch(shared: &Shared, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
    let end = Instant::now() + wait;
    let mut content = shared.content.lock().expect("no thread panics");
    loop {
        content.expire();
        let events = content.history.iter();
        let events =
            events.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
        let events = events.map(|(_, _, event)| event.as_str());
        let events = events.collect::<Vec<_>>().join(",");
        let left = end.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let revision = content.revision;
            return (
                200,
                format!(r#"{{"events":[{events}],"store-revision":{revision}}}"#),
            );
        }
        let waited = shared.changed.wait_timeout(content, left.min(LEASE_CHECK));
        content = waited.expect("no thread panics").0;
    }
}

/// Encodes bytes in standard Base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            let is_padding = index > group.len();
            text.push(if is_padding { '=' } else { digit.into() });
        }
    }
    text
}
