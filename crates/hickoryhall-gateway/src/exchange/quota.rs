//! Charges requests to the quotas of their workspaces.

use std::sync::Arc;
use std::time::Duration;

use hickoryhall_limits::QuotaDecision;
use hickoryhall_types::hash_name;

use crate::core::CoreHandle;
use crate::interface::RequestMeta;
use crate::table::Workspace;

/// Units that a request was charged, which are given back when it ends without having run.
pub(super) struct QuotaCharge {
    core: CoreHandle,
    workspace: Arc<Workspace>,
    units: f64,
    may_have_run: bool,
}

impl QuotaCharge {
    /// Charges a request to the quota of its workspace; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns the time after which a request over the quota is worth repeating.
    pub fn take(
        core: &CoreHandle,
        workspace: Option<&Arc<Workspace>>,
        meta: &RequestMeta,
    ) -> Result<Option<Self>, Duration> {
        let Some((workspace, quota)) = workspace.and_then(|known| Some((known, known.quota?)))
        else {
            return Ok(None);
        };
        let units = quota.unit.units(meta.token_count);
        let draw = hash_name(&meta.request_id);
        match core.with(|core, now| core.charge_quota(now, workspace, units, draw)) {
            QuotaDecision::Unlimited => Ok(None),
            QuotaDecision::Charged => Ok(Some(Self {
                core: core.clone(),
                workspace: Arc::clone(workspace),
                units,
                may_have_run: false,
            })),
            QuotaDecision::Refused { retry_after } => Err(retry_after),
        }
    }

    /// Records whether a server may have run the request.
    pub fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if !self.may_have_run {
            let (workspace, units) = (&self.workspace, self.units);
            self.core
                .with(|core, now| core.give_back_quota(now, workspace, units));
        }
    }
}
