//! Servers of plain services: what the end of a call says about its server.

use std::time::Instant;

use hickoryhall_entry::dispatch::{AttemptEnd, Server, ServerKind, ServicePool};

fn pool() -> ServicePool {
    let mut pool = ServicePool::default();
    pool.set_servers(&[Server {
        id: "s".into(),
        kind: ServerKind::Service,
        domain: "a".into(),
        address: ([127, 0, 0, 1], 1).into(),
        target: "booking".into(),
        leaving: false,
    }]);
    pool
}

/// Guards against a failing server that counts as healthy again because a caller left before its
/// call was sent there.
#[test]
fn a_call_that_was_never_sent_does_not_clear_failures() {
    let now = Instant::now();
    let mut pool = pool();
    let ends = [
        AttemptEnd::Failed,
        AttemptEnd::Failed,
        AttemptEnd::Released,
        AttemptEnd::Failed,
    ];
    for end in ends {
        let picked = pool.pick(now, "booking", &"a".into(), &[]);
        assert!(picked.is_some(), "the server is not ejected yet");
        pool.record_end(now, "s", end);
    }
    assert!(pool.pick(now, "booking", &"a".into(), &[]).is_none());
}
