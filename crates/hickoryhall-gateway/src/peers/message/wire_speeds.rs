//! Protocol Buffers encoding of what hosts tell each other about the speed of runners.

use hickoryhall_routing::{ServiceSums, SpeedStatement};
use prost::Message;

/// Samples of one process of a runner.
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct WireRunnerSpeed {
    #[prost(uint32, tag = "1")]
    pub(super) factor_permille: u32,
    #[prost(uint32, tag = "2")]
    pub(super) samples_64: u32,
    #[prost(uint32, tag = "3")]
    pub(super) weight_64: u32,
}

/// Sums of the samples of a service.
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct WireServiceSpeed {
    #[prost(fixed64, tag = "1")]
    pub(super) service: u64,
    #[prost(float, tag = "2")]
    pub(super) samples: f32,
    #[prost(float, tag = "3")]
    pub(super) weight: f32,
    #[prost(float, tag = "4")]
    pub(super) work: f32,
    #[prost(float, tag = "5")]
    pub(super) work_squared: f32,
    #[prost(float, tag = "6")]
    pub(super) time: f32,
    #[prost(float, tag = "7")]
    pub(super) work_time: f32,
}

impl From<SpeedStatement> for WireRunnerSpeed {
    fn from(statement: SpeedStatement) -> Self {
        Self {
            factor_permille: statement.factor_permille,
            samples_64: statement.samples_64,
            weight_64: statement.weight_64,
        }
    }
}

impl From<WireRunnerSpeed> for SpeedStatement {
    fn from(wire: WireRunnerSpeed) -> Self {
        Self {
            factor_permille: wire.factor_permille,
            samples_64: wire.samples_64,
            weight_64: wire.weight_64,
        }
    }
}

impl From<&(u64, ServiceSums)> for WireServiceSpeed {
    fn from((service, sums): &(u64, ServiceSums)) -> Self {
        Self {
            service: *service,
            samples: sums.samples as f32,
            weight: sums.weight as f32,
            work: sums.work as f32,
            work_squared: sums.work_squared as f32,
            time: sums.time as f32,
            work_time: sums.work_time as f32,
        }
    }
}

impl From<&WireServiceSpeed> for (u64, ServiceSums) {
    fn from(wire: &WireServiceSpeed) -> Self {
        let sums = ServiceSums {
            samples: wire.samples.into(),
            weight: wire.weight.into(),
            work: wire.work.into(),
            work_squared: wire.work_squared.into(),
            time: wire.time.into(),
            work_time: wire.work_time.into(),
        };
        (wire.service, sums)
    }
}
