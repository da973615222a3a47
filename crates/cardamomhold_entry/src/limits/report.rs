//! Metrics and log lines about limits.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_limit::allocator;

use crate::metrics;

/// Workspaces with a metric of their own; the others are counted together.
const MAX_LABELS: usize = 20;

/// Label of the others.
const OTHERS: &str = "other";

/// Interval between two log lines about a workspace that is over its limit.
const LOG_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// Refusals of a workspace since its last log line.
#[derive(Debug, Default)]
struct Refused {
    logged: Option<Timestamp>,
    count: u64,
}

/// Reports what the task decides.
#[derive(Debug)]
pub(super) struct Report {
    metrics: metrics::Metrics,
    labels: collections::BTreeSet<name::WorkspaceName>,
    refused: collections::BTreeMap<name::WorkspaceName, Refused>,
}

impl Report {
    pub(super) fn new(metrics: metrics::Metrics) -> Self {
        Self {
            metrics,
            labels: collections::BTreeSet::new(),
            refused: collections::BTreeMap::new(),
        }
    }

    /// Chooses the workspaces with the largest limits for metrics of their own.
    pub(super) fn set_limits(&mut self, limits: &allocator::Limits) {
        let mut largest: Vec<_> = limits.iter().collect();
        largest.sort_by(|a, b| b.1.rate.total_cmp(&a.1.rate));
        let names = largest.into_iter().take(MAX_LABELS);
        self.labels = names.map(|(name, _)| name.clone()).collect();
        self.refused.retain(|name, _| limits.contains_key(name));
    }

    fn label<'a>(&self, workspace: &'a name::WorkspaceName) -> &'a str {
        match self.labels.contains(workspace) {
            true => workspace.as_str(),
            false => OTHERS,
        }
    }

    pub(super) fn record_permit(&self, workspace: &name::WorkspaceName) {
        self.metrics
            .record_limited(self.label(workspace), "permitted");
    }

    pub(super) fn record_refusal(
        &mut self,
        now: Timestamp,
        workspace: &name::WorkspaceName,
        after: time::Duration,
        holder: Option<&name::InstanceName>,
    ) {
        self.metrics
            .record_limited(self.label(workspace), "refused");
        let refused = self.refused.entry(workspace.clone()).or_default();
        refused.count += 1;
        if refused
            .logged
            .is_some_and(|at| now.since(at) < LOG_INTERVAL)
        {
            return;
        }
        refused.logged = Some(now);
        log::info!(
            "event=limit_reached workspace={workspace} refused={} after_ms={} holder={}",
            std::mem::take(&mut refused.count),
            after.as_millis(),
            holder.map_or("none", |h| h.as_str())
        );
    }
}
