//! Runners of a booking service and of a model service, which register themselves in the store.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::RangeInclusive;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Head, read_body};
use crate::record::Record;
use crate::store::Store;

/// Time that a booking takes.
const WORK: Duration = Duration::from_millis(60);
/// Time to the first event of a stream.
const PREFILL: Duration = Duration::from_millis(200);

/// What runs at a runner, and the service that it belongs to.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Work {
    Bookings,
    Streams {
        service: &'static str,
        /// Events of a stream, and the pause between them.
        events: u32,
        event_pause: Duration,
    },
}

/// A running runner.
pub struct Runner {
    id: String,
    address: SocketAddr,
    work: Work,
    slots: usize,
    busy: Mutex<usize>,
    freed: Condvar,
    record: Arc<Record>,
}

impl Runner {
    /// Starts a runner of software version v1 and registers it.
    pub fn start(
        id: &str,
        work: Work,
        slots: usize,
        store: &Store,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        Self::start_of_version(id, "v1", work, slots, store, record)
    }

    /// Does the same for another software version.
    pub fn start_of_version(
        id: &str,
        software: &str,
        work: Work,
        slots: usize,
        store: &Store,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let runner = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("the listener has an address"),
            work,
            slots,
            busy: Mutex::new(0),
            freed: Condvar::new(),
            record: Arc::clone(record),
        });
        runner.register(software, store);
        let serving = Arc::clone(&runner);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = Arc::clone(&serving);
                thread::spawn(move || {
                    // A connection that fails has no effect on the others.
                    let _ = runner.serve(&stream);
                });
            }
        });
        runner
    }

    fn register(&self, software: &str, store: &Store) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born_ms = born.map_or(0, |born| born.as_millis());
        let (service, stage) = match self.work {
            Work::Bookings => ("booking", String::new()),
            Work::Streams { service, .. } => (
                service,
                r#""stage":"both","models":[{"name":"m0","version":1,"adapters":[]}],"#.to_owned(),
            ),
        };
        // A heartbeat that changes `sequence` alone does not change the entry.
        let entry = format!(
            r#"{{"service":"{service}","address":"{}","zone":"za-west-a","version":"{software}","slots":{},{stage}"state":"ready","cold-remaining-ms":0,"sequence":1,"born":{born_ms}}}"#,
            self.address, self.slots
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream;
        let mut reader = BufReader::new(stream);
        loop {
            let head = Head::read(&mut reader)?;
            read_body(&head, &mut reader)?;
            let id = head.header("request-attempt-id").unwrap_or_default();
            match head.word(1) {
                "/health" => {
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                        self.id
                    );
                    writer.write_all(answer.as_bytes())?;
                }
                "/-/report" => {
                    let report = r#"{"stage":"both","models":[{"name":"m0","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting-requests":0,"running-requests":0,"kv-cache-used":0,"kv-cache-total":101787,"handles":0}"#;
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{report}",
                        report.len()
                    );
                    writer.write_all(answer.as_bytes())?;
                }
                _ if head
                    .header("target-instance")
                    .is_some_and(|target| target != self.id) =>
                {
                    let answer = format!(
                        "HTTP/1.1 421 Misdirected\r\nRequest-Attempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    );
                    writer.write_all(answer.as_bytes())?;
                }
                _ => self.run(id, &head, writer)?,
            }
        }
    }

    fn run(&self, id: &str, head: &Head, writer: &TcpStream) -> io::Result<()> {
        let mut busy = self.busy.lock().expect("no thread panics");
        while *busy >= self.slots {
            busy = self.freed.wait(busy).expect("no thread panics");
        }
        *busy += 1;
        drop(busy);
        self.record
            .line(&format!("request {id} runs at {}", self.id));
        let result = match self.work {
            Work::Bookings => self.answer_booking(id, writer),
            Work::Streams {
                events,
                event_pause,
                ..
            } => {
                let after = head.header("last-event-id");
                let after = after.and_then(|after| after.parse().ok()).unwrap_or(0);
                self.answer_stream(id, (after + 1..=events, event_pause), writer)
            }
        };
        *self.busy.lock().expect("no thread panics") -= 1;
        self.freed.notify_one();
        result
    }

    fn answer_booking(&self, id: &str, mut writer: &TcpStream) -> io::Result<()> {
        thread::sleep(WORK);
        let body = "b".repeat(800);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: {id}\r\nServer-Seal: seal.{id}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(answer.as_bytes())
    }

    fn answer_stream(
        &self,
        id: &str,
        (events, pause): (RangeInclusive<u32>, Duration),
        mut writer: &TcpStream,
    ) -> io::Result<()> {
        thread::sleep(PREFILL);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: {id}\r\nServer-Seal: seal.{id}\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for number in events {
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            writer.write_all(&chunk(event.as_bytes()))?;
            thread::sleep(pause);
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}
