//! Ordinary clients, which book on kept connections.

use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::{Head, read_body};
use crate::record::Record;

/// Time that a client of bookings waits.
const BOOKING_DEADLINE: Duration = Duration::from_millis(1_500);
/// Pause of a client between two bookings, and after a connection that failed.
const BOOKING_PAUSE: Duration = Duration::from_millis(20);
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// How an attempt on an open connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Answered(u16),
    /// The connection ended without an answer.
    Closed,
    TimedOut,
}

/// An attempt of an ordinary client.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub sent_at: Instant,
    pub end: End,
}

/// Returns the status of a GET request on a connection of its own.
pub fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let limit = Duration::from_millis(900);
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    (&stream).write_all(request.as_bytes()).ok()?;
    Some(Head::read(&mut BufReader::new(&stream)).ok()?.status())
}

/// Returns the status of an ordinary GET request with a key, 0 without an answer.
pub fn get_with_key(front: SocketAddr, path: &str, id: &str) -> u16 {
    let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return 0;
    };
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: svc.example\r\nRequest-Attempt-Id: {id}\r\nKey: key-a\r\nDeadline-Ms: {}\r\n\r\n",
        BOOKING_DEADLINE.as_millis()
    );
    match exchange(&stream, &mut BufReader::new(&stream), request.as_bytes()) {
        End::Answered(status) => status,
        End::Closed | End::TimedOut => 0,
    }
}

/// Clients that book one after the other until they are stopped.
pub struct Bookers {
    is_over: Arc<AtomicBool>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Bookers {
    /// Starts clients of one host.
    pub fn start(front: SocketAddr, name: &str, count: usize, record: &Arc<Record>) -> Self {
        let is_over = Arc::<AtomicBool>::default();
        let attempts = Arc::<Mutex<Vec<Attempt>>>::default();
        let threads = (0..count).map(|number| {
            let (is_over, attempts) = (Arc::clone(&is_over), Arc::clone(&attempts));
            let (name, record) = (format!("{name}-{number}"), Arc::clone(record));
            thread::spawn(move || {
                let mut sent = 0;
                while !is_over.load(Ordering::SeqCst) {
                    book_on_a_connection(front, &name, &mut sent, &is_over, &attempts, &record);
                    thread::sleep(RECONNECT_PAUSE);
                }
            })
        });
        let threads = threads.collect();
        Self {
            is_over,
            attempts,
            threads,
        }
    }

    /// Stops the clients and returns their attempts.
    pub fn stop(self) -> Vec<Attempt> {
        self.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("no client panics");
        }
        let mut attempts = self.attempts.lock().expect("no thread panics");
        std::mem::take(&mut attempts)
    }
}

fn book_on_a_connection(
    front: SocketAddr,
    name: &str,
    sent: &mut usize,
    is_over: &AtomicBool,
    attempts: &Mutex<Vec<Attempt>>,
    record: &Record,
) {
    let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return;
    };
    let mut reader = BufReader::new(&stream);
    while !is_over.load(Ordering::SeqCst) {
        *sent += 1;
        let id = format!("{name}-{sent}");
        let body = "c".repeat(600);
        let request = format!(
            "POST /booking/confirm HTTP/1.1\r\nHost: svc.example\r\nRequest-Attempt-Id: {id}\r\nKey: key-a\r\nDeadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
            BOOKING_DEADLINE.as_millis(),
            body.len()
        );
        let sent_at = Instant::now();
        let end = exchange(&stream, &mut reader, request.as_bytes());
        record.line(&format!("booking {id}: {end:?}"));
        let mut all = attempts.lock().expect("no thread panics");
        all.push(Attempt { sent_at, end });
        drop(all);
        if !matches!(end, End::Answered(status) if status != 0) {
            return;
        }
        thread::sleep(BOOKING_PAUSE);
    }
}

/// Sends a request and reads its answer, whose status is 0 if the connection must not be used again.
fn exchange(mut stream: &TcpStream, reader: &mut BufReader<&TcpStream>, request: &[u8]) -> End {
    if stream.set_read_timeout(Some(BOOKING_DEADLINE)).is_err()
        || stream.write_all(request).is_err()
    {
        return End::Closed;
    }
    let answer = Head::read(reader).and_then(|head| Ok((read_body(&head, reader)?, head)));
    match answer {
        Ok((_, head)) if head.closes() => End::Answered(0),
        Ok((_, head)) => End::Answered(head.status()),
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            End::TimedOut
        }
        Err(_) => End::Closed,
    }
}
