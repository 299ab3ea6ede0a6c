//! The platform's store, and the link of one host to it, which can be cut.

use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, read_request};
use crate::record::Record;

const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

struct Item {
    /// In Base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
            self.value, self.revision, self.created, self.lease
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key and text of each event.
    history: Vec<(u64, String, String)>,
    /// Time to live and end of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl State {
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
            .push((revision, key.to_owned(), item.json(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let event = format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#);
            self.history.push((revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let items = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys = items.map(|(key, _)| key.clone()).collect::<Vec<_>>();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended = ended.map(|(id, _)| *id).collect::<Vec<_>>();
        ended.into_iter().for_each(|id| self.end_lease(id));
    }
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let store = Self {
            address,
            shared: Arc::default(),
            record: record.clone(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.shared.0.lock().expect("not poisoned");
        state.expire();
        let result = act(&mut state);
        self.shared.1.notify_all();
        result
    }

    /// Writes an item, as an operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        self.with(|state| state.put(key, base64(value.as_bytes()), 0));
        self.record
            .line(format!("store: acknowledged {key} = {value}"));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some((head, body)) = read_request(&mut reader) {
            let (status, body) = self.answer(&head, &String::from_utf8_lossy(&body));
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let text = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            let field = fields.find(|(other, _)| *other == name);
            field
                .map(|(_, value)| decode_percent(value))
                .unwrap_or_default()
        };
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        match path.rsplit_once('/').unwrap_or_default() {
            ("/-", "kv-watch") => {
                let wait = Duration::from_millis(number("wait-ms"));
                (200, self.watch(&text("path-prefix"), number("after"), wait))
            }
            ("/-", "kv-range") => self.with(|state| {
                let (prefix, after) = (text("path-prefix"), text("after"));
                let items = state.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items = items.map(|(key, item)| item.json(key)).collect::<Vec<_>>();
                let revision = state.revision;
                let items = items.join(",");
                (
                    200,
                    format!(
                        r#"{{"items":[{items}],"more-pages":false,"store-revision":{revision}}}"#
                    ),
                )
            }),
            ("/-", "kv-key") => self.with(|state| match state.items.get(&text("key")) {
                Some(item) => (200, item.json(&text("key"))),
                None => (404, "{}".to_owned()),
            }),
            ("/-", "kv-txn") => self.with(|state| transact(state, body)),
            ("/-", "kv-lease") => self.with(|state| {
                let ttl_ms = number_field(body, "ttl-ms").unwrap_or(1_000).max(1_000);
                let ttl = Duration::from_millis(ttl_ms);
                state.next_lease += 1;
                let id = state.next_lease;
                state.leases.insert(id, (ttl, Instant::now() + ttl));
                (200, format!(r#"{{"lease":{id},"ttl-ms":{ttl_ms}}}"#))
            }),
            ("/-/kv-keep", id) => self.with(|state| {
                let lease = id
                    .parse()
                    .ok()
                    .and_then(|id: u64| state.leases.get_mut(&id));
                let Some((ttl, end)) = lease else {
                    return (404, "{}".to_owned());
                };
                *end = Instant::now() + *ttl;
                (200, format!(r#"{{"ttl-ms":{}}}"#, ttl.as_millis()))
            }),
            ("/-/kv-lease-end", id) => self.with(|state| {
                state.end_lease(id.parse().unwrap_or(0));
                (200, "{}".to_owned())
            }),
            _ => (400, "{}".to_owned()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut state = self.shared.0.lock().expect("not poisoned");
        loop {
            state.expire();
            let events = state.history.iter();
            let events =
                events.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events = events.map(|(_, _, text)| text.clone()).collect::<Vec<_>>();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                let events = events.join(",");
                return format!(r#"{{"events":[{events}],"store-revision":{revision}}}"#);
            }
            let left = left.min(LEASE_CHECK_INTERVAL);
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.expect("not poisoned").0;
        }
    }
}

/// Applies a transaction with one condition and one write, as the hosts send it.
fn transact(state: &mut State, body: &str) -> (u16, String) {
    let Some((expected, write)) = body.split_once("\"writes\"") else {
        return (400, "{}".to_owned());
    };
    let (Some(key), Some(revision)) = (
        text_field(expected, "key"),
        number_field(expected, "revision"),
    ) else {
        return (400, "{}".to_owned());
    };
    let item = state.items.get(&key);
    if item.map_or(0, |item| item.revision) != revision {
        let items = item.map(|item| item.json(&key)).unwrap_or_default();
        return (412, format!(r#"{{"items":[{items}]}}"#));
    }
    let lease = number_field(write, "lease").unwrap_or(0);
    if lease != 0 && !state.leases.contains_key(&lease) {
        return (404, "{}".to_owned());
    }
    let (Some(key), Some(value)) = (text_field(write, "key"), text_field(write, "value")) else {
        return (400, "{}".to_owned());
    };
    state.put(&key, value, lease);
    (200, format!(r#"{{"revision":{}}}"#, state.revision))
}

fn after_field<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = json.split_once(&format!("\"{name}\":"))?;
    Some(rest.trim_start())
}

fn text_field(json: &str, name: &str) -> Option<String> {
    let rest = after_field(json, name)?.strip_prefix('"')?;
    rest.split_once('"').map(|(text, _)| text.to_owned())
}

fn number_field(json: &str, name: &str) -> Option<u64> {
    let rest = after_field(json, name)?;
    let digits = rest.chars().take_while(char::is_ascii_digit);
    digits.collect::<String>().parse().ok()
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0_u32;
        for index in 0..3 {
            number = number << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = (number >> (18 - 6 * index)) & 63;
            let is_there = index <= group.len();
            text.push(if is_there {
                char::from(ALPHABET[digit as usize])
            } else {
                '='
            });
        }
    }
    text
}

/// The link of a host to the store. While it is cut, nothing passes in either direction, and new
/// connections hang.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    pub fn start(to: SocketAddr) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let link = Self {
            address,
            is_cut: Arc::default(),
        };
        let is_cut = Arc::clone(&link.is_cut);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let is_cut = Arc::clone(&is_cut);
                thread::spawn(move || {
                    wait_while(&is_cut);
                    let Ok(server) = TcpStream::connect(to) else {
                        return;
                    };
                    let (Ok(from), Ok(back)) = (client.try_clone(), server.try_clone()) else {
                        return;
                    };
                    let cut = Arc::clone(&is_cut);
                    thread::spawn(move || pass(from, server, &cut));
                    pass(back, client, &is_cut);
                });
            }
        });
        Ok(link)
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn wait_while(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(2));
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let _ = to.set_nodelay(true);
    let mut buffer = vec![0; 65_536];
    while let Ok(length) = from.read(&mut buffer) {
        wait_while(is_cut);
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
