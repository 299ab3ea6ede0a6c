//! Retry of a request, from the decision to the moment at which it is sent.

use hickoryhall_types::TargetId;

use super::Exchange;
use crate::core::CoreHandle;
use crate::interface::Platform;

/// A retry of the budget of a service. It is given back if it is dropped before it was sent.
pub(super) struct RetryReservation {
    core: CoreHandle,
    service: TargetId,
    is_sent: bool,
}

impl RetryReservation {
    /// Reserves a retry; `None` if the budget allows none.
    pub fn take(core: &CoreHandle, service: &TargetId) -> Option<Self> {
        let is_reserved = core.with(|core, now| core.reserve_retry(now, service));
        is_reserved.then(|| Self {
            core: core.clone(),
            service: service.clone(),
            is_sent: false,
        })
    }

    /// Deducts the retry, which is sent now. Returns whether it may be sent.
    fn send(&mut self) -> bool {
        if self.is_sent {
            return true;
        }
        self.is_sent = true;
        let service = &self.service;
        self.core.with(|core, now| core.spend_retry(now, service))
    }

    /// Takes the deduction back, as nothing arrived at a server.
    fn restore(&mut self) {
        if std::mem::take(&mut self.is_sent) {
            let service = &self.service;
            self.core.with(|core, _| core.restore_retry(service));
        }
    }
}

impl Drop for RetryReservation {
    fn drop(&mut self) {
        if !self.is_sent {
            let service = &self.service;
            self.core.with(|core, _| core.release_retry(service));
        }
    }
}

impl<P: Platform> Exchange<P> {
    /// Reserves a retry for the next attempt; returns whether the budget allowed it.
    pub(super) fn reserve_retry(&mut self) -> bool {
        self.retry = None;
        self.retry = RetryReservation::take(&self.gateway.core, &self.request.service);
        self.retry.is_some()
    }

    /// Deducts the reserved retry, if the next attempt is one, as it is sent now. Returns whether the
    /// attempt may be sent.
    pub(super) fn send_retry(&mut self) -> bool {
        self.retry.as_mut().is_none_or(RetryReservation::send)
    }

    /// Keeps the retry of an attempt that did not arrive at a server for the next attempt.
    pub(super) fn restore_retry(&mut self) {
        if let Some(retry) = &mut self.retry {
            retry.restore();
        }
    }
}
