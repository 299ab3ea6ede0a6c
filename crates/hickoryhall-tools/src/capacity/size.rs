//! Size of the system that capacity is planned for.

/// Numbers and rates of the planned system.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedSize {
    /// Number of entry hosts.
    pub hosts: f64,
    /// Number of failure domains.
    pub domains: f64,
    /// Number of regions; a host sends requests only to runners of its own region.
    pub regions: f64,
    /// Number of runners of all models.
    pub runners: f64,
    /// Number of models.
    pub models: f64,
    /// Number of workspaces.
    pub workspaces: f64,
    /// Requests per second of all hosts together.
    pub requests_per_s: f64,
    /// Tokens generated per second by all runners together.
    pub tokens_per_s: f64,
    /// Number of prompt blocks in the caches of all runners.
    pub blocks: f64,
    /// Cache events per second of all runners together.
    pub cache_events_per_s: f64,
    /// Changes of the table per day.
    pub changes_per_day: f64,
    /// Number of hosts that are restarted or replaced per day.
    pub restarts_per_day: f64,
    /// Number of hosts that fail per day.
    pub failures_per_day: f64,
    /// Fraction of requests that must not be repeated; 1 in 100 is assumed.
    pub claimed_fraction: f64,
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
            claimed_fraction: 0.01,
        }
    }
}

impl PlannedSize {
    /// Returns the requests per second of one host.
    #[must_use]
    pub fn host_requests_per_s(&self) -> f64 {
        self.requests_per_s / self.hosts
    }

    /// Returns the number of hosts in one failure domain.
    #[must_use]
    pub fn hosts_per_domain(&self) -> f64 {
        self.hosts / self.domains
    }

    /// Returns the number of runners in one region, which a host chooses from.
    #[must_use]
    pub fn runners_per_region(&self) -> f64 {
        self.runners / self.regions
    }

    /// Returns the number of runners whose cache one host tracks.
    #[must_use]
    pub fn tracked_runners_per_host(&self) -> f64 {
        self.runners / self.hosts
    }

    /// Returns the number of rows of the table: one for each workspace and model.
    #[must_use]
    pub fn rows(&self) -> f64 {
        self.workspaces * self.models
    }
}
