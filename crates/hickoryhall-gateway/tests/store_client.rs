//! Calls to a store that comes back from an older copy while they are under way.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hickoryhall_gateway::interface::{
    ConditionalPut, LeaseId, Store, StoreAnswer, StoreChange, StoreError, StoreItem, StoreRevision,
    WithRevision,
};
use hickoryhall_gateway::store_client::{StoreClient, StoreLease};
use hickoryhall_gateway::store_position::StorePosition;
use hyper::StatusCode;
use slog::{Discard, Logger, o};

/// An answer that the store gives to its next call, with its era.
#[derive(Clone, Copy, Debug)]
enum Answer {
    /// Success, with a revision, or with the id of a lease.
    Ok(u64, u64),
    NotFound(u64),
    Compacted(u64),
    Conflict(u64),
    Refused(u64),
    None,
}

/// A store that gives the answers of a script.
#[derive(Default)]
struct Script {
    answers: RefCell<VecDeque<Answer>>,
    calls: Cell<u32>,
}

impl Script {
    fn next<T>(&self, value: impl FnOnce(u64) -> T) -> StoreAnswer<T> {
        self.calls.set(self.calls.get() + 1);
        let answer = self.answers.borrow_mut().pop_front();
        let (era, result) = match answer.expect("the script has an answer for each call") {
            Answer::Ok(era, number) => (Some(era), Ok(value(number))),
            Answer::NotFound(era) => (Some(era), Err(StoreError::NotFound)),
            Answer::Compacted(era) => (Some(era), Err(StoreError::Compacted)),
            Answer::Conflict(era) => (Some(era), Err(StoreError::Conflict)),
            Answer::Refused(era) => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                (Some(era), Err(StoreError::Refused(status)))
            }
            Answer::None => (None, Err(StoreError::NoAnswer("cut".to_owned()))),
        };
        StoreAnswer { era, result }
    }
}

fn read<T>(revision: u64) -> WithRevision<Vec<T>> {
    let content = Vec::new();
    WithRevision { content, revision }
}

impl Store for Script {
    async fn range(&self, _: &str) -> StoreAnswer<WithRevision<Vec<StoreItem>>> {
        self.next(read)
    }

    async fn watch(
        &self,
        _: &str,
        _: StoreRevision,
        _: Duration,
    ) -> StoreAnswer<WithRevision<Vec<StoreChange>>> {
        self.next(read)
    }

    async fn put_if(&self, _: &ConditionalPut) -> StoreAnswer<StoreRevision> {
        self.next(|revision| revision)
    }

    async fn grant(&self, _: Duration) -> StoreAnswer<LeaseId> {
        self.next(|id| id)
    }

    async fn renew(&self, _: LeaseId) -> StoreAnswer<()> {
        self.next(|_| ())
    }

    async fn end_lease(&self, _: LeaseId) -> StoreAnswer<()> {
        self.next(|_| ())
    }
}

fn client(answers: &[Answer]) -> (Rc<Script>, StoreClient<Script>) {
    let script = Script {
        answers: RefCell::new(answers.iter().copied().collect()),
        calls: Cell::default(),
    };
    let script = Rc::new(script);
    let logger = Logger::root(Discard, o!());
    (Rc::clone(&script), StoreClient::new(script, logger))
}

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime starts");
    runtime.block_on(future)
}

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

const PUT: ConditionalPut = ConditionalPut {
    key: String::new(),
    value: Bytes::new(),
    expected_revision: 0,
    lease: 1,
};

/// Returns the name of an error, or `ok`.
fn name<T>(result: Result<T, StoreError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(StoreError::EraChanged) => "era changed",
        Err(StoreError::OlderEra) => "older era",
        Err(StoreError::Compacted) => "compacted",
        Err(StoreError::Conflict) => "conflict",
        Err(StoreError::NotFound) => "not found",
        Err(StoreError::Refused(_)) => "refused",
        Err(_) => "no answer",
    }
}

#[test]
fn a_watch_of_an_older_era_is_not_continued() {
    let (script, client) = client(&[Answer::Ok(0, 9), Answer::Ok(1, 12)]);
    run(async {
        let listed = client.range("").await.expect("the store answers");
        assert_eq!(listed.position, at(0, 9));
        // The store has given out revision 9 again, so the answer looks like a success.
        let watched = client.watch("", listed.position, Duration::ZERO).await;
        assert_eq!(name(watched), "era changed");
        assert_eq!(client.era(), 1);
        // It is not even asked for.
        let watched = client.watch("", listed.position, Duration::ZERO).await;
        assert_eq!(name(watched), "era changed");
    });
    assert_eq!(script.calls.get(), 2);
}

/// Every kind of answer shows the era, also one with an error status.
#[test]
fn an_answer_with_an_error_status_shows_the_era() {
    let cases = [
        (Answer::Compacted(1), "era changed", 1),
        (Answer::Refused(1), "refused", 1),
        (Answer::Refused(0), "refused", 0),
        (Answer::Compacted(0), "compacted", 0),
        (Answer::None, "no answer", 0),
    ];
    for (answer, expected, era) in cases {
        let (_, client) = client(&[Answer::Ok(0, 9), answer]);
        run(async {
            let listed = client.range("").await.expect("the store answers");
            let watched = client.watch("", listed.position, Duration::ZERO).await;
            assert_eq!(name(watched), expected, "{answer:?}");
            assert_eq!(client.era(), era, "{answer:?}");
        });
    }
}

#[test]
fn a_late_answer_of_an_older_era_is_dropped() {
    let cases = [
        (Answer::Ok(1, 99), "older era"),
        (Answer::NotFound(1), "older era"),
        (Answer::Refused(1), "refused"),
    ];
    for (answer, expected) in cases {
        let (_, client) = client(&[Answer::Ok(2, 4), answer, Answer::Ok(2, 5)]);
        run(async {
            assert_eq!(name(client.range("").await), "ok");
            assert_eq!(name(client.range("").await), expected, "{answer:?}");
            let listed = client.range("").await.expect("the store answers");
            assert_eq!(listed.position, at(2, 5));
        });
    }
}

/// Guards against a lease that is taken for renewed although its id names another one by now.
#[test]
fn a_renewal_that_is_answered_in_another_era_is_none() {
    for answer in [Answer::Ok(1, 0), Answer::NotFound(1)] {
        let (_, client) = client(&[Answer::Ok(0, 7), answer]);
        run(async {
            let lease = client.grant(Duration::ZERO).await.expect("a lease");
            assert_eq!(lease, StoreLease { id: 7, era: 0 });
            assert_eq!(name(client.renew(lease).await), "era changed");
        });
    }
}

/// Guards against a holder whose write met a condition on a revision that was given out again, or
/// has a lease that is not its own.
#[test]
fn a_write_that_is_answered_in_another_era_does_not_count() {
    for answer in [Answer::Ok(1, 5), Answer::Conflict(1)] {
        let (_, client) = client(&[Answer::Ok(0, 4), answer]);
        run(async {
            assert_eq!(name(client.range("").await), "ok");
            assert_eq!(name(client.put_if(&PUT, 0).await), "era changed");
        });
    }
    let (script, client) = client(&[Answer::Ok(0, 4), Answer::Ok(1, 7)]);
    run(async {
        assert_eq!(name(client.range("").await), "ok");
        assert_eq!(name(client.grant(Duration::ZERO).await), "ok");
        assert_eq!(name(client.put_if(&PUT, 0).await), "era changed");
    });
    assert_eq!(script.calls.get(), 2, "the write is not sent");
}

#[test]
fn a_peer_that_has_seen_a_newer_era_ends_the_older_one() {
    let (_, client) = client(&[Answer::Ok(1, 9)]);
    run(async {
        let listed = client.range("").await.expect("the store answers");
        client.observe_peer_era(0);
        assert_eq!(client.era(), 1);
        client.observe_peer_era(3);
        client.wait_for_newer_era(listed.position.era).await;
        let watched = client.watch("", listed.position, Duration::ZERO).await;
        assert_eq!(name(watched), "era changed");
    });
}
