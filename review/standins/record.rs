//! What was sent, answered and run, with the time of each.

use std::collections::HashSet;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Event {
    pub at: Duration,
    /// What happened, such as `runs` or `crashes`.
    pub kind: &'static str,
    pub request: String,
    /// Server or host that it happened at.
    pub place: String,
    pub detail: String,
}

pub struct Record {
    started: Instant,
    events: Mutex<Vec<Event>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            events: Mutex::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn add(&self, kind: &'static str, request: &str, place: &str, detail: impl ToString) {
        let event = Event {
            at: self.now(),
            kind,
            request: request.to_owned(),
            place: place.to_owned(),
            detail: detail.to_string(),
        };
        self.events.lock().unwrap().push(event);
    }

    pub fn events(&self) -> Vec<Event> {
        let mut events = self.events.lock().unwrap().clone();
        events.sort_by_key(|event| event.at);
        events
    }

    /// Writes all events and the result to a file. Of the events of streams, only those of streams that
    /// went on at another runner are written.
    pub fn write(&self, path: &Path, result: &str) -> std::io::Result<()> {
        let mut file = File::create(path)?;
        writeln!(file, "# seconds, what, request, place, details")?;
        let events = self.events();
        let resumed = events
            .iter()
            .filter(|event| event.kind == "runs" && event.detail != "after 0");
        let resumed: HashSet<String> = resumed.map(|event| event.request.clone()).collect();
        for event in events {
            if event.kind == "event" && !resumed.contains(&event.request) {
                continue;
            }
            let Event {
                at,
                kind,
                request,
                place,
                detail,
            } = event;
            let at = at.as_secs_f64();
            writeln!(file, "{at:9.3} {kind:10} {request} {place} {detail}")?;
        }
        writeln!(file, "\n{result}")
    }
}
