//! Protocol Buffers encoding of what hosts tell each other about crashes, limits of
//! servers and quotas.

use std::time::Duration;

use hickoryhall_limits::{LimitStatement, QuotaReport, QuotaStatement};
use hickoryhall_routing::{AnsweredPart, BlockedPart, CrashNews, CrashReport, CrashedPart};
use prost::Message;

/// Parts and run times are two lists of equal length.
#[derive(Clone, PartialEq, Message)]
pub(super) struct WireCrash {
    #[prost(fixed64, tag = "1")]
    pub(super) crash: u64,
    #[prost(uint64, tag = "2")]
    pub(super) age_ms: u64,
    #[prost(fixed64, repeated, tag = "3")]
    pub(super) parts: Vec<u64>,
    #[prost(uint64, repeated, tag = "4")]
    pub(super) run_times_ms: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireBlockedPart {
    #[prost(fixed64, tag = "1")]
    pub(super) part: u64,
    #[prost(uint64, tag = "2")]
    pub(super) age_ms: u64,
    #[prost(bool, tag = "3")]
    pub(super) has_failed_probe: bool,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireAnsweredPart {
    #[prost(fixed64, tag = "1")]
    pub(super) part: u64,
    #[prost(uint64, tag = "2")]
    pub(super) age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireCrashNews {
    #[prost(message, repeated, tag = "1")]
    pub(super) crashes: Vec<WireCrash>,
    #[prost(message, repeated, tag = "2")]
    pub(super) answered: Vec<WireAnsweredPart>,
    #[prost(message, repeated, tag = "3")]
    pub(super) blocked: Vec<WireBlockedPart>,
}

/// Limit that a process of a server names.
#[derive(Clone, PartialEq, Message)]
pub(super) struct WireLimit {
    #[prost(fixed64, tag = "1")]
    pub(super) server: u64,
    #[prost(uint64, tag = "2")]
    pub(super) process: u64,
    /// Requests a second; missing if the server names none any more.
    #[prost(double, optional, tag = "3")]
    pub(super) limit_per_s: Option<f64>,
    #[prost(uint64, tag = "4")]
    pub(super) age_ms: u64,
}

/// Use of the quotas of workspaces.
#[derive(Clone, PartialEq, Message)]
pub(super) struct WireQuotaReport {
    /// Process of the sender.
    #[prost(fixed64, tag = "1")]
    pub(super) process: u64,
    #[prost(message, repeated, tag = "2")]
    pub(super) statements: Vec<WireQuota>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireQuota {
    #[prost(fixed64, tag = "1")]
    pub(super) workspace: u64,
    #[prost(uint64, tag = "2")]
    pub(super) admitted: u64,
    #[prost(float, tag = "3")]
    pub(super) demand_per_s: f32,
    #[prost(sint64, tag = "4")]
    pub(super) balance: i64,
}

impl From<&QuotaReport> for WireQuotaReport {
    fn from(report: &QuotaReport) -> Self {
        let statements = report.statements.iter().map(|statement| WireQuota {
            workspace: statement.workspace,
            admitted: statement.admitted,
            demand_per_s: statement.demand_per_s,
            balance: statement.balance,
        });
        Self {
            process: report.process,
            statements: statements.collect(),
        }
    }
}

impl From<&WireQuotaReport> for QuotaReport {
    fn from(wire: &WireQuotaReport) -> Self {
        let statements = wire.statements.iter().map(|wire| QuotaStatement {
            workspace: wire.workspace,
            admitted: wire.admitted,
            demand_per_s: wire.demand_per_s,
            balance: wire.balance,
        });
        Self {
            process: wire.process,
            statements: statements.collect(),
        }
    }
}

impl From<&CrashNews> for WireCrashNews {
    fn from(news: &CrashNews) -> Self {
        Self {
            crashes: news.crashes.iter().map(From::from).collect(),
            answered: news.answered.iter().map(From::from).collect(),
            blocked: news.blocked.iter().map(From::from).collect(),
        }
    }
}

impl From<&WireCrashNews> for CrashNews {
    fn from(wire: &WireCrashNews) -> Self {
        Self {
            crashes: wire.crashes.iter().map(From::from).collect(),
            answered: wire.answered.iter().map(From::from).collect(),
            blocked: wire.blocked.iter().map(From::from).collect(),
        }
    }
}

impl From<&CrashReport> for WireCrash {
    fn from(report: &CrashReport) -> Self {
        let parts = &report.parts;
        Self {
            crash: report.crash,
            age_ms: whole_ms(report.age),
            parts: parts.iter().map(|ran| ran.part).collect(),
            run_times_ms: parts.iter().map(|ran| whole_ms(ran.run_time)).collect(),
        }
    }
}

impl From<&WireCrash> for CrashReport {
    fn from(wire: &WireCrash) -> Self {
        let parts = wire.parts.iter().zip(&wire.run_times_ms);
        Self {
            crash: wire.crash,
            age: Duration::from_millis(wire.age_ms),
            parts: parts
                .map(|(&part, &run_time_ms)| CrashedPart {
                    part,
                    run_time: Duration::from_millis(run_time_ms),
                })
                .collect(),
        }
    }
}

impl From<&AnsweredPart> for WireAnsweredPart {
    fn from(answered: &AnsweredPart) -> Self {
        Self {
            part: answered.part,
            age_ms: whole_ms(answered.age),
        }
    }
}

impl From<&BlockedPart> for WireBlockedPart {
    fn from(blocked: &BlockedPart) -> Self {
        Self {
            part: blocked.part,
            age_ms: whole_ms(blocked.age),
            has_failed_probe: blocked.has_failed_probe,
        }
    }
}

impl From<&WireBlockedPart> for BlockedPart {
    fn from(wire: &WireBlockedPart) -> Self {
        Self {
            part: wire.part,
            age: Duration::from_millis(wire.age_ms),
            has_failed_probe: wire.has_failed_probe,
        }
    }
}

impl From<&WireAnsweredPart> for AnsweredPart {
    fn from(wire: &WireAnsweredPart) -> Self {
        Self {
            part: wire.part,
            age: Duration::from_millis(wire.age_ms),
        }
    }
}

impl From<&LimitStatement> for WireLimit {
    fn from(statement: &LimitStatement) -> Self {
        Self {
            server: statement.server,
            process: statement.process,
            limit_per_s: statement.limit_per_s,
            age_ms: whole_ms(statement.age),
        }
    }
}

impl From<&WireLimit> for LimitStatement {
    fn from(wire: &WireLimit) -> Self {
        Self {
            server: wire.server,
            process: wire.process,
            limit_per_s: wire.limit_per_s,
            age: Duration::from_millis(wire.age_ms),
        }
    }
}

pub(super) fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
