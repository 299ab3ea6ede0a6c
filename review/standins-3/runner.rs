//! A runner of a model, as a process of its own.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, read_request};
use crate::record::Record;

pub const SLOTS: u32 = 64;
/// One answer in so many is spoiled by a runner that spoils some.
const SPOILED_EVERY: u32 = 50;
/// The first of them, and the event in its place.
const FIRST_SPOILED: u32 = 10;
const SPOILED_EVENT: u32 = 5;
/// Steps in which a runner waits for the next event, and looks whether the host has left.
const STEPS: u32 = 10;
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// A run at a runner that has begun or ended, with the time.
pub struct Work {
    pub id: String,
    pub runner: String,
    pub begins: bool,
    pub at: Instant,
}

/// The runs of all runners, in the order of their times.
pub type Works = Arc<Mutex<Vec<Work>>>;

/// What a runner does wrong.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    /// It spoils an event of some answers, and works on.
    pub spoils: bool,
    /// It runs requests of streams that go on, and their answers are lost.
    pub loses: bool,
}

/// The process of a runner, as the case sees it.
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub born: u64,
    child: Child,
}

impl Runner {
    /// Starts a process whose runs are written to the record.
    pub fn start(
        id: &str,
        (address, zone): (SocketAddr, &str),
        software: &str,
        born: u64,
        faults: Faults,
        (record, works): (&Record, &Works),
    ) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut child = Command::new(program)
            .args([
                "runner",
                id,
                &address.to_string(),
                software,
                &born.to_string(),
                &faults.spoils.to_string(),
                &faults.loses.to_string(),
            ])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| error.to_string())?;
        let mut output = child.stdout.take().map(BufReader::new).ok_or("no output")?;
        let mut first = String::new();
        output
            .read_line(&mut first)
            .map_err(|error| error.to_string())?;
        if first.trim() != "listening" {
            return Err(format!("runner {id} does not listen"));
        }
        let name = format!("{id} ({software}, born {born})");
        let (record, works) = (record.clone(), Arc::clone(works));
        record.line(format!("runner {name}: serves at {address}"));
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                record.line(format!("runner {name}: {line}"));
                let mut words = line.split(' ');
                if let (Some(what @ ("runs" | "leaves" | "ends")), Some(id)) =
                    (words.next(), words.next())
                {
                    works.lock().expect("not poisoned").push(Work {
                        id: id.to_owned(),
                        runner: name.clone(),
                        begins: what == "runs",
                        at: Instant::now(),
                    });
                }
            }
        });
        Ok(Self {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            born,
            child,
        })
    }

    /// Returns its entry in the registry.
    pub fn entry(
        address: SocketAddr,
        zone: &str,
        software: &str,
        born: u64,
        state: &str,
    ) -> String {
        format!(
            r#"{{"service":"llm-pool","address":"{address}","zone":"{zone}","version":"{software}","slots":{SLOTS},"state":"{state}","cold-remaining-ms":0,"stage":"both","models":[{{"name":"m0","version":1,"adapters":[]}}],"sequence":1,"born":{born}}}"#
        )
    }

    /// Makes the process say in all its answers that it leaves.
    pub fn leave(&mut self) {
        self.tell("leave\n");
    }

    /// Makes the process do what it does wrong, or no longer.
    pub fn set_faulty(&mut self, is_faulty: bool) {
        self.tell(if is_faulty { "fail\n" } else { "work\n" });
    }

    fn tell(&mut self, line: &str) {
        if let Some(input) = &mut self.child.stdin {
            // Fails only if the process has ended.
            let _ = input.write_all(line.as_bytes());
        }
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What the threads of the process share.
struct Process {
    id: String,
    software: String,
    born: u64,
    running: AtomicU32,
    /// Whether it says that it leaves.
    is_leaving: AtomicBool,
    faults: Faults,
    /// Whether it does something wrong at the moment.
    is_faulty: AtomicBool,
    /// Answers of streams that began while it did something wrong.
    answers: AtomicU32,
}

/// Runs the process; the options are id, address, software version, start time, and what it does wrong.
pub fn run(options: &[&str]) {
    let [id, address, software, born, spoils, loses] = options else {
        return;
    };
    let process = Arc::new(Process {
        id: (*id).to_owned(),
        software: (*software).to_owned(),
        born: born.parse().unwrap_or(0),
        running: AtomicU32::new(0),
        is_leaving: AtomicBool::new(false),
        faults: Faults {
            spoils: *spoils == "true",
            loses: *loses == "true",
        },
        is_faulty: AtomicBool::new(false),
        answers: AtomicU32::new(0),
    });
    let Ok(listener) = TcpListener::bind(address) else {
        return;
    };
    println!("listening");
    let own = Arc::clone(&process);
    thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            match line.as_str() {
                "leave" => {
                    own.is_leaving.store(true, Ordering::Relaxed);
                    println!("says that it leaves");
                }
                other => own.is_faulty.store(other == "fail", Ordering::Relaxed),
            }
        }
        // The case has ended.
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let process = Arc::clone(&process);
        thread::spawn(move || process.serve(stream));
    }
}

impl Process {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some((head, _)) = read_request(&mut reader) {
            if self.answer(&head, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, writer: &mut TcpStream) -> std::io::Result<()> {
        let plain = |status: u16, headers: &str, body: &str| {
            format!(
                "HTTP/1.1 {status} X\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let is_other = head
            .header("target-instance")
            .is_some_and(|id| id != self.id);
        let instance = format!("Instance-Id: {}\r\n", self.id);
        if is_other {
            return writer.write_all(plain(421, &instance, "{}").as_bytes());
        }
        match head.word(1) {
            "/-/report" => {
                let running = self.running.load(Ordering::Relaxed);
                let report = format!(
                    r#"{{"stage":"both","models":[{{"name":"m0","version":1,"adapters":[]}}],"busy":false,"sequence":0,"waiting-requests":0,"running-requests":{running},"kv-cache-used":0,"kv-cache-total":101787,"handles":0,"born":{}}}"#,
                    self.born
                );
                writer.write_all(plain(200, "", &report).as_bytes())
            }
            "/health" => writer.write_all(plain(200, &instance, "{}").as_bytes()),
            path if path.starts_with("/-/") => writer.write_all(plain(404, "", "{}").as_bytes()),
            _ => {
                self.running.fetch_add(1, Ordering::Relaxed);
                let done = self.stream(head, writer);
                self.running.fetch_sub(1, Ordering::Relaxed);
                done
            }
        }
    }

    /// Streams events that say which software made them, after the one that the request names.
    fn stream(&self, head: &Head, writer: &mut TcpStream) -> std::io::Result<()> {
        let id = head.header("request-attempt-id").unwrap_or_default();
        let last = head.header("last-event-id").unwrap_or_default();
        let last = last.parse::<u32>().unwrap_or(0);
        let is_faulty = self.is_faulty.load(Ordering::Relaxed);
        let is_lost = is_faulty && self.faults.loses && last > 0;
        let is_spoiled = is_faulty && self.faults.spoils && last == 0 && {
            let answers = self.answers.fetch_add(1, Ordering::Relaxed);
            answers % SPOILED_EVERY == FIRST_SPOILED
        };
        println!("runs {id} after event {last}");
        let running = self.running.load(Ordering::Relaxed);
        let events = head
            .header("token-counts")
            .and_then(|counts| counts.split(',').nth(1));
        let events = events
            .and_then(|events| events.parse::<u32>().ok())
            .unwrap_or(0);
        let leaving = if self.is_leaving.load(Ordering::Relaxed) {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        let start = format!(
            "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: {id}\r\nServer-Seal: seal-{id}\r\nServer-Load: {running},0,{SLOTS}\r\nWeight-Versions: 1\r\n{leaving}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if !is_lost {
            writer.write_all(start.as_bytes())?;
        }
        for number in last + 1..=events {
            let event = if is_spoiled && number == SPOILED_EVENT {
                println!("spoils {id} at event {number}, and works on");
                "no event\n\n".to_owned()
            } else {
                format!(
                    "id: {number}\ndata: {} {} {number}\n\n",
                    self.software, self.id
                )
            };
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            let is_sent = is_lost || writer.write_all(chunk.as_bytes()).is_ok();
            let has_left = (0..STEPS).any(|_| {
                thread::sleep(EVENT_INTERVAL / STEPS);
                is_closed(writer)
            });
            if has_left || !is_sent {
                println!("leaves {id} at event {number}");
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
        }
        println!("ends {id}");
        if is_lost {
            // Nothing more comes on the connection.
            while !is_closed(writer) {
                thread::sleep(EVENT_INTERVAL);
            }
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

/// Returns whether the other side has closed the connection.
fn is_closed(stream: &mut TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let is_closed = matches!(stream.peek(&mut [0]), Ok(0));
    let _ = stream.set_nonblocking(false);
    is_closed
}
