//! Headers that apply to a single connection.

use hyper::header::{
    CONNECTION, EXPECT, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
];

/// Returns a copy without hop-by-hop headers, including those that `Connection` names.
#[must_use]
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let named = headers.get_all(CONNECTION).iter();
    let named = named.filter_map(|value| value.to_str().ok());
    for name in named.flat_map(|names| names.split(',')) {
        if let Ok(name) = HeaderName::try_from(name.trim()) {
            kept.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        kept.remove(name);
    }
    kept
}
