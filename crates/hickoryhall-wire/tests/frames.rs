//! Round trips of frames, and rejection of frames that are not authentic, altered or replayed.

use bytes::BytesMut;
use hickoryhall_wire::{
    Body, Frame, FrameCodec, Gossip, GrantRequest, GrantResponse, Heartbeat, Keyring,
    MAX_FRAME_BYTES, OpenError, Peer, QuoteRequest, QuoteResponse, ReplayWindow, Rumor,
    RunnerQuote, TableDelta, TableFetch, WireLevel,
};
use proptest::prelude::*;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio_util::codec::{Decoder, Encoder};

fn peer(host: u64) -> Peer {
    Peer {
        host,
        incarnation: 1_000 + host,
    }
}

fn frame(body: Body) -> Frame {
    Frame {
        sender: peer(1),
        receiver: 2,
        sequence: 7,
        body,
    }
}

fn levels() -> Vec<WireLevel> {
    vec![
        WireLevel {
            key: 11,
            tokens: 12_000,
        },
        WireLevel {
            key: u64::MAX,
            tokens: 0,
        },
    ]
}

fn gossip() -> Body {
    Body::Gossip(Gossip {
        revision: 9,
        leaving: true,
        heartbeats: vec![Heartbeat {
            peer: peer(3),
            count: 4,
        }],
        rumors: vec![
            Rumor::RunnerLeaving {
                runner: 5,
                incarnation: 6,
            },
            Rumor::HostLeaving { peer: peer(7) },
            Rumor::Suspect {
                fingerprint: 8,
                deaths: 2,
            },
        ],
    })
}

fn quote() -> RunnerQuote {
    RunnerQuote {
        runner: 1,
        incarnation: 2,
        wait_ms: 3,
        cached_tokens: 4,
        eviction_tokens: 5,
        is_warm: true,
    }
}

#[rstest]
#[case::gossip(gossip())]
#[case::empty_gossip(Body::Gossip(Gossip::default()))]
#[case::push(Body::PushRevision { revision: u64::MAX })]
#[case::quote_ask(Body::QuoteRequest(QuoteRequest { id: 1, runners: vec![2, 3], levels: levels(), class: 1 }))]
#[case::quote_answer(Body::QuoteResponse(QuoteResponse { id: 1, quotes: vec![quote()] }))]
#[case::reserve(Body::Reserve { runner: 1, id: 2, levels: levels(), class: 1 })]
#[case::release(Body::Release { runner: 1, id: 2, cached_tokens: Some(0) })]
#[case::release_without_token(Body::Release { runner: 1, id: 2, cached_tokens: None })]
#[case::grant_ask(Body::GrantRequest(GrantRequest { bucket: 1, units: 2, limit: 3 }))]
#[case::grant_answer(Body::GrantResponse(GrantResponse { bucket: 1, units: 2, ttl_ms: 3 }))]
#[case::table_fetch(Body::TableFetch(TableFetch { known_revision: 0 }))]
#[case::table_delta(Body::TableDelta(TableDelta {
    from: 1,
    head_json: b"{}".to_vec(),
    rows_json: b"[]".to_vec(),
    removed_json: b"[]".to_vec(),
}))]
fn a_frame_survives_the_way(#[case] body: Body) {
    let frame = frame(body);
    let keyring = Keyring::new(&["a shared secret"]);
    assert_eq!(keyring.open(&keyring.seal(&frame)), Ok(frame.clone()));
    let mut codec = FrameCodec::new(keyring);
    let mut bytes = BytesMut::new();
    codec
        .encode(&frame, &mut bytes)
        .expect("the frame is below the size limit");
    // The codec must not return a frame before its last byte has arrived.
    let last = bytes.split_off(bytes.len() - 1);
    assert!(
        codec
            .decode(&mut bytes)
            .expect("an incomplete frame is no error")
            .is_none()
    );
    bytes.unsplit(last);
    assert_eq!(
        codec
            .decode(&mut bytes)
            .expect("the complete frame is valid"),
        Some(frame)
    );
}

#[test]
fn a_strangers_frame_is_not_opened() {
    let sealed = Keyring::new(&["another secret"]).seal(&frame(gossip()));
    assert_eq!(
        Keyring::new(&["a shared secret"]).open(&sealed),
        Err(OpenError::NotAuthentic)
    );
}

#[test]
fn keys_rotate_without_a_gap() {
    let old = Keyring::new(&["old secret"]);
    let both = Keyring::new(&["old secret", "new secret"]);
    let new_first = Keyring::new(&["new secret", "old secret"]);
    let new = Keyring::new(&["new secret"]);
    let open_each_other = |a: &Keyring, b: &Keyring| {
        a.open(&b.seal(&frame(gossip()))).is_ok() && b.open(&a.seal(&frame(gossip()))).is_ok()
    };
    assert!(
        open_each_other(&old, &both)
            && open_each_other(&both, &new_first)
            && open_each_other(&new_first, &new)
    );
    assert!(!open_each_other(&old, &new));
}

#[test]
fn an_oversize_length_is_an_error_at_once() {
    let mut codec = FrameCodec::new(Keyring::new(&["a shared secret"]));
    let length = u32::try_from(MAX_FRAME_BYTES + 1).expect("the length fits in 32 bits");
    let mut bytes = BytesMut::from(&length.to_be_bytes()[..]);
    assert!(codec.decode(&mut bytes).is_err());
}

#[test]
fn replays_and_older_incarnations_are_not_new() {
    let mut window = ReplayWindow::default();
    assert!(window.accept(peer(1), 10));
    assert!(!window.accept(peer(1), 10));
    assert!(window.accept(peer(1), 9), "late, but not received before");
    assert!(!window.accept(peer(1), 9));
    assert!(window.accept(peer(1), 200));
    assert!(!window.accept(peer(1), 11), "below the window");
    let restarted = Peer {
        incarnation: 5_000,
        ..peer(1)
    };
    assert!(window.accept(restarted, 1));
    assert!(
        !window.accept(peer(1), 201),
        "from the previous incarnation"
    );
}

proptest! {
    #[test]
    fn each_number_is_new_once_as_in_a_naive_set(
        sequences in prop::collection::vec(1_u64..150, 1..200),
    ) {
        let mut window = ReplayWindow::default();
        let mut seen = std::collections::BTreeSet::new();
        for sequence in sequences {
            let highest = seen.last().copied().unwrap_or(sequence);
            let is_in_window = sequence + 64 > highest;
            let is_new = is_in_window && !seen.contains(&sequence);
            prop_assert_eq!(window.accept(peer(1), sequence), is_new);
            seen.insert(sequence);
        }
    }
}

/// Fuzzes the decoder with truncated frames, flipped bits and random bytes, from a fixed seed.
#[test]
fn no_changed_frame_is_opened_and_none_panics() {
    let keyring = Keyring::new(&["a shared secret"]);
    let mut rng = ChaCha8Rng::seed_from_u64(42);
    let corpus = [
        gossip(),
        Body::QuoteRequest(QuoteRequest {
            id: 1,
            runners: vec![2, 3],
            levels: levels(),
            class: 1,
        }),
        Body::QuoteResponse(QuoteResponse {
            id: 1,
            quotes: vec![quote()],
        }),
        Body::TableDelta(TableDelta::default()),
    ]
    .map(|body| keyring.seal(&frame(body)));
    for round in 0..50_000 {
        let mut bytes = corpus[round % corpus.len()].clone();
        match rng.random_range(0..3) {
            0 => bytes.truncate(rng.random_range(0..bytes.len())),
            1 => {
                let index = rng.random_range(0..bytes.len());
                bytes[index] ^= 1 << rng.random_range(0..8_u32);
            }
            _ => {
                bytes = vec![0; rng.random_range(0..200)];
                rng.fill_bytes(&mut bytes);
            }
        }
        assert!(keyring.open(&bytes).is_err());
    }
}
