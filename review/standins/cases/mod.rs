//! The cases.

mod frequent_questions;
mod joined_versions;
mod poison_stream;
mod stale_seeds;
mod two_runs;

use std::sync::Arc;

use crate::Verdict;
use crate::record::Record;

pub fn play(case: &str, record: &Arc<Record>, has_trouble: bool) -> std::io::Result<Verdict> {
    match case {
        "poison-stream" => poison_stream::play(record, has_trouble),
        "two-runs" => two_runs::play(record, has_trouble),
        "stale-seeds" => stale_seeds::play(record, has_trouble),
        "frequent-questions" => frequent_questions::play(record, has_trouble),
        "joined-versions" => joined_versions::play(record, has_trouble),
        _ => Err(std::io::Error::other("there is no such case")),
    }
}
