//! Messages between hosts are decoded to what was encoded, and malformed ones cause no panic.

use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::Bytes;
use hickoryhall_gateway::core::StreamMessages;
use hickoryhall_gateway::feeds::relay::RegistryRelay;
use hickoryhall_gateway::interface::{StoreChange, StoreItem};
use hickoryhall_gateway::peers::{
    DesiredVersionUpdate, Digest, PromptUpdate, Scope, ServerUpdate, StoreRecords, StoreSnapshot,
    SuspectUpdate,
};
use hickoryhall_gateway::scheduler::{DesiredVersionAge, HostLoad};
use hickoryhall_gateway::store_position::StorePosition;
use hickoryhall_gateway::stream_versions::{
    ServiceVersion, StreamKnowledge, StreamOrigin, StreamQuestion,
};
use hickoryhall_limits::{LimitStatement, QuotaReport, QuotaStatement};
use hickoryhall_routing::{
    AnsweredPart, BlockedPart, CrashNews, CrashReport, CrashedPart, Level, ReachStatement,
    ServiceSums, SpeedStatement,
};
use proptest::prelude::*;
use prost::Message;

fn digest(numbers: &[u64]) -> Digest {
    let number = |index: usize| numbers.get(index).copied().unwrap_or_default();
    let small = |index: usize| (number(index) % 1_000_000) as u32;
    Digest {
        host: number(0),
        domain: number(4),
        group: number(5),
        scope: [
            Scope::Host,
            Scope::Heartbeat,
            Scope::Group {
                hosts: vec![number(6), number(7)],
            },
        ][number(8) as usize % 3]
            .clone(),
        is_forwarded: number(9).is_multiple_of(2),
        table_revision: number(1),
        store_era: number(5),
        servers: vec![ServerUpdate {
            server: number(2),
            incarnation: [None, Some(number(3))][number(4) as usize % 2],
            load: HostLoad {
                requests: small(3),
                pending_ms: small(4),
                urgent_pending_ms: small(6),
                unshared_tokens: small(5),
                output_tokens: small(6),
                non_resumable: small(7),
            },
            weights: number(8),
            is_changing: [None, Some(false), Some(true)][number(9) as usize % 3],
            is_leaving: number(5).is_multiple_of(2),
            speed: [
                None,
                Some(SpeedStatement {
                    factor_permille: small(1),
                    samples_64: small(2),
                    weight_64: small(3),
                }),
            ][number(6) as usize % 2],
        }],
        desired_versions: vec![DesiredVersionUpdate {
            model: "m".into(),
            version: number(1),
            age: if number(2).is_multiple_of(2) {
                DesiredVersionAge::Exact(Duration::from_millis(u64::from(small(2))))
            } else {
                DesiredVersionAge::AtLeast(Duration::from_millis(u64::from(small(2))))
            },
        }],
        suspects: vec![SuspectUpdate {
            fingerprint: number(3),
            deaths: small(4),
        }],
        crashes: CrashNews {
            crashes: vec![CrashReport {
                crash: number(1),
                age: Duration::from_millis(number(2)),
                parts: vec![CrashedPart {
                    part: number(3),
                    run_time: Duration::from_millis(number(4)),
                }],
            }],
            answered: vec![AnsweredPart {
                part: number(5),
                age: Duration::from_millis(number(6)),
            }],
            blocked: vec![BlockedPart {
                part: number(7),
                age: Duration::from_millis(number(8)),
                has_failed_probe: number(9).is_multiple_of(2),
            }],
        },
        request_crashes: number(2).is_multiple_of(3).then(|| CrashNews {
            crashes: vec![CrashReport {
                crash: number(4),
                age: Duration::from_millis(number(3)),
                parts: vec![CrashedPart {
                    part: number(2),
                    run_time: Duration::from_millis(number(1)),
                }],
            }],
            answered: vec![AnsweredPart {
                part: number(6),
                age: Duration::from_millis(number(5)),
            }],
            blocked: vec![BlockedPart {
                part: number(8),
                age: Duration::from_millis(number(7)),
                has_failed_probe: number(5).is_multiple_of(2),
            }],
        }),
        limits: vec![LimitStatement {
            server: number(1),
            process: number(2),
            limit_per_s: [None, Some(f64::from(small(3)) / 8.0)][number(4) as usize % 2],
            age: Duration::from_millis(number(5)),
        }],
        refusal_limits: vec![LimitStatement {
            server: number(6),
            process: number(1),
            limit_per_s: [None, Some(f64::from(small(2)))][number(3) as usize % 2],
            age: Duration::from_millis(number(4)),
        }],
        service_speeds: vec![(
            number(3),
            ServiceSums {
                samples: f64::from(small(1)),
                weight: f64::from(small(2)) / 64.0,
                work: f64::from(small(3)) / 8.0,
                work_squared: f64::from(small(4)),
                time: f64::from(small(5)) / 4.0,
                work_time: f64::from(small(6)),
            },
        )],
        quotas: number(3).is_multiple_of(2).then(|| QuotaReport {
            process: number(1),
            statements: vec![QuotaStatement {
                workspace: number(2),
                admitted: number(3),
                demand_per_s: small(4) as f32,
                balance: number(5) as i64,
            }],
        }),
        reach: ReachStatement {
            requests: small(6),
            unreached: vec![number(7); number(8) as usize % 3],
        },
        prompts: vec![PromptUpdate {
            server: number(5),
            incarnation: [None, Some(number(6))][number(7) as usize % 2],
            weights: number(6),
            levels: vec![Level {
                key: number(7),
                tokens: small(8),
            }],
        }],
        registry: number(3).is_multiple_of(2).then(|| RegistryRelay {
            era: number(6),
            after: number(1),
            until: number(2),
            changes: vec![
                StoreChange::Put(StoreItem {
                    key: "registry/a".to_owned(),
                    value: Bytes::from_static(b"{}"),
                    revision: number(4),
                }),
                StoreChange::Removed {
                    key: "registry/b".to_owned(),
                    revision: number(5),
                },
            ],
            read_age: [None, Some(Duration::from_millis(number(7)))][number(1) as usize % 2],
        }),
        streams: stream_messages(numbers),
    }
}

fn stream_messages(numbers: &[u64]) -> StreamMessages {
    let question = |index: usize| StreamQuestion {
        stream: [None, Some(numbers[index])][index % 2],
        service: numbers[9],
    };
    let answers = [
        StreamKnowledge::Began(numbers[2]),
        StreamKnowledge::Only {
            software: numbers[3],
            is_current: numbers[4].is_multiple_of(2),
        },
        StreamKnowledge::Several,
        StreamKnowledge::Unknown,
    ];
    StreamMessages {
        in_use: vec![ServiceVersion {
            service: numbers[1],
            software: numbers[2],
        }],
        told: numbers[..3]
            .iter()
            .map(|&stream| StreamOrigin {
                stream,
                service: numbers[8],
                software: numbers[7],
            })
            .collect(),
        asked: (0..3).map(question).collect(),
        answers: answers
            .into_iter()
            .enumerate()
            .map(|(index, answer)| (question(index), answer))
            .collect(),
    }
}

proptest! {
    #[test]
    fn a_digest_is_read_as_written(numbers in prop::collection::vec(any::<u64>(), 10)) {
        let digest = digest(&numbers);
        let hosts = [Ipv4Addr::new(10, 1, 2, 3)];
        let (read, known) = Digest::decode(&digest.encode(&hosts)).expect("own bytes");
        prop_assert_eq!(read, digest);
        prop_assert_eq!(known, hosts);
    }

    #[test]
    fn strange_bytes_are_an_error_or_a_digest(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        // Both outcomes are valid; only a panic fails the test.
        let _ = Digest::decode(&bytes);
    }
}

#[test]
fn a_snapshot_is_read_as_written() {
    let records = |era, revision, key: &str| StoreRecords {
        position: StorePosition { era, revision },
        items: vec![StoreItem {
            key: key.to_owned(),
            value: Bytes::from_static(b"{}"),
            revision,
        }],
    };
    let snapshot = StoreSnapshot {
        operator: records(2, 4, "table"),
        registry: records(3, 9, "registry/a"),
    };
    let read = StoreSnapshot::decode(snapshot.encode()).expect("own bytes");
    assert_eq!(read, snapshot);
}

/// The formula in `docs/CAPACITY.md` for what hosts tell and ask about streams.
#[test]
fn messages_about_streams_are_small() {
    let digest = |streams| Digest {
        host: u64::MAX,
        domain: u64::MAX,
        group: u64::MAX,
        scope: Scope::Heartbeat,
        table_revision: 1_000,
        store_era: 1,
        streams,
        ..Digest::default()
    };
    let origin = |stream| StreamOrigin {
        stream,
        service: u64::MAX,
        software: u64::MAX,
    };
    let told = |count: u64| {
        let told = (1..=count).map(origin).collect();
        let streams = StreamMessages {
            told,
            ..StreamMessages::default()
        };
        digest(streams).encode(&[]).len()
    };
    let question = StreamQuestion {
        stream: Some(u64::MAX),
        service: u64::MAX,
    };
    let asked = StreamMessages {
        asked: vec![question],
        ..StreamMessages::default()
    };
    let answered = StreamMessages {
        answers: vec![(question, StreamKnowledge::Began(u64::MAX))],
        ..StreamMessages::default()
    };
    assert_eq!((told(1), told(2) - told(1), told(100)), (64, 8, 858));
    assert_eq!(digest(asked).encode(&[]).len(), 55);
    assert_eq!(digest(answered).encode(&[]).len(), 68);
}

/// A digest with some fields as hosts of the previous build read and write it.
#[derive(Clone, PartialEq, Message)]
struct PreviousDigest {
    #[prost(fixed64, tag = "1")]
    host: u64,
    #[prost(uint64, tag = "2")]
    table_revision: u64,
    #[prost(fixed64, tag = "9")]
    group: u64,
    #[prost(uint32, tag = "22")]
    requests: u32,
}

fn digest_with_quotas(workspaces: u64) -> Digest {
    let statements = (0..workspaces).map(|workspace| QuotaStatement {
        workspace: u64::MAX - workspace,
        admitted: 1 << 40,
        demand_per_s: 9_000_000.0,
        balance: -2_294_322,
    });
    Digest {
        host: 5,
        table_revision: 7,
        group: 9,
        reach: ReachStatement {
            requests: 3,
            unreached: Vec::new(),
        },
        quotas: Some(QuotaReport {
            process: u64::MAX,
            statements: statements.collect(),
        }),
        ..Digest::default()
    }
}

/// Guards against digests that hosts of the previous build cannot read, and against taking theirs for
/// reports without use.
#[test]
fn quotas_are_unknown_to_the_previous_build() {
    let previous = PreviousDigest {
        host: 5,
        table_revision: 7,
        group: 9,
        requests: 3,
    };
    let bytes = digest_with_quotas(16).encode(&[]);
    let read = PreviousDigest::decode(&*bytes).expect("unknown fields are ignored");
    assert_eq!(read, previous);
    let (read, _) = Digest::decode(&previous.encode_to_vec()).expect("a digest");
    assert_eq!((read.host, read.quotas), (5, None));
}

/// The formula in `docs/design/limits.md`.
#[test]
fn reports_of_quotas_are_small() {
    let without = Digest {
        quotas: None,
        ..digest_with_quotas(0)
    };
    let size = |digest: Digest| digest.encode(&[]).len();
    let empty = size(digest_with_quotas(0)) - size(without);
    let one = size(digest_with_quotas(1)) - size(digest_with_quotas(0));
    assert_eq!((empty, one), (12, 28));
    let full = size(digest_with_quotas(32)) - size(digest_with_quotas(0));
    // The length of the report takes another byte.
    assert_eq!(full, 32 * one + 1);
}

/// Guards digests against statements about speed that leave no room for loads in a datagram: the
/// formula of docs/design/runner-speed.md.
#[test]
fn statements_about_speed_are_small() {
    let statement = SpeedStatement {
        factor_permille: 4_000,
        samples_64: 16_000,
        weight_64: 16_000,
    };
    let digest = |is_listed: bool, speed: Option<SpeedStatement>| Digest {
        servers: (0..12)
            .filter(|_| is_listed)
            .map(|server| ServerUpdate {
                server: u64::MAX - server,
                incarnation: Some(1_800_000_000_000_000),
                load: HostLoad::default(),
                weights: 300,
                is_changing: None,
                is_leaving: false,
                speed,
            })
            .collect(),
        ..Digest::default()
    };
    let bytes = |digest: &Digest| digest.encode(&[]).len();
    let none = bytes(&digest(false, None));
    let listed = bytes(&digest(true, None));
    let told = bytes(&digest(true, Some(statement)));
    let mut with_service = digest(false, None);
    with_service.service_speeds = vec![(
        u64::MAX,
        ServiceSums {
            samples: 1.0,
            weight: 1.0,
            work: 1.0,
            work_squared: 1.0,
            time: 1.0,
            work_time: 1.0,
        },
    )];
    let service = bytes(&with_service) - none;
    println!(
        "{service} a service, {} and {} for 12 runners",
        told - listed,
        told - none
    );
    assert!(service <= 42);
    assert!(told - listed <= 12 * 11);
    assert!(told - none <= 12 * 35);
}
