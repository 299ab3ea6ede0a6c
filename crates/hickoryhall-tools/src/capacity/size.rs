//! The planned size.

/// Counts that the users plan for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedSize {
    /// Entry hosts.
    pub hosts: f64,
    /// Failure domains.
    pub domains: f64,
    /// Regions.
    pub regions: f64,
    /// Runners.
    pub runners: f64,
    /// Models.
    pub models: f64,
    /// Workspaces.
    pub workspaces: f64,
    /// Requests a second.
    pub requests_per_s: f64,
    /// Tokens generated a second.
    pub tokens_per_s: f64,
    /// Cached blocks.
    pub blocks: f64,
    /// Cache events a second.
    pub cache_events_per_s: f64,
    /// Changes of the table a day.
    pub changes_per_day: f64,
    /// Hosts restarted or replaced a day.
    pub restarts_per_day: f64,
    /// Hosts that fail a day.
    pub failures_per_day: f64,
    /// Part of requests that may not be repeated, taken for the page: 1 in 100.
    pub claimed_part: f64,
}

impl Default for PlannedSize {
    fn default() -> Self {
        Self {
            hosts: 520.0,
            domains: 14.0,
            regions: 5.0,
            runners: 4_200.0,
            models: 8.0,
            workspaces: 730.0,
            requests_per_s: 37_000.0,
            tokens_per_s: 11_000_000.0,
            blocks: 720_000_000.0,
            cache_events_per_s: 2_500_000.0,
            changes_per_day: 3_500.0,
            restarts_per_day: 240.0,
            failures_per_day: 29.0,
            claimed_part: 0.01,
        }
    }
}

impl PlannedSize {
    /// Returns the requests a second of one host.
    #[must_use]
    pub fn host_requests_per_s(&self) -> f64 {
        self.requests_per_s / self.hosts
    }

    /// Returns the hosts of one failure domain.
    #[must_use]
    pub fn domain_hosts(&self) -> f64 {
        self.hosts / self.domains
    }

    /// Returns the runners of one region, which a host chooses from.
    #[must_use]
    pub fn region_runners(&self) -> f64 {
        self.runners / self.regions
    }

    /// Returns the runners that one host tracks.
    #[must_use]
    pub fn tracked_runners(&self) -> f64 {
        self.runners / self.hosts
    }

    /// Returns the rows of the table.
    #[must_use]
    pub fn rows(&self) -> f64 {
        self.workspaces * self.models
    }
}
