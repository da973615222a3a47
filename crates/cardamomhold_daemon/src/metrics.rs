//! The metrics of an instance.

use std::time;

use cardamomhold_budget::accounts;
use cardamomhold_core::name;
use cardamomhold_core::rank;
use prometheus::core::Collector;

use crate::endpoint;

/// Upper bounds of the latency histograms, in seconds.
const BUCKETS: [f64; 14] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// The metrics of an instance; clones share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: prometheus::Registry,
    statements: prometheus::HistogramVec,
    failures: prometheus::IntCounterVec,
    reads: prometheus::IntCounterVec,
    callers: prometheus::IntGauge,
    shed: prometheus::IntCounterVec,
    charged: prometheus::IntGauge,
    waits: prometheus::HistogramVec,
    loads: prometheus::IntGaugeVec,
}

impl Metrics {
    /// Creates the metrics.
    ///
    /// # Errors
    /// [`prometheus::Error`] if a name is rejected.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = prometheus::Registry::new();
        let options = prometheus::HistogramOpts::new(
            "cardamomhold_statement_seconds",
            "Time from a statement's arrival to the end of its answer",
        );
        let statements =
            prometheus::HistogramVec::new(options.buckets(BUCKETS.to_vec()), &["group", "rank"])?;
        let failures = counter(
            "cardamomhold_failures_total",
            "Statements without a regular answer",
            &["group", "rank", "reason"],
        )?;
        let reads = counter(
            "cardamomhold_reads_total",
            "Declared reads by where they ran",
            &["group", "at"],
        )?;
        let callers =
            prometheus::IntGauge::new("cardamomhold_callers", "Open connections of callers")?;
        let shed = counter(
            "cardamomhold_shed_total",
            "Connections that were refused or closed to stay within the limits",
            &["reason"],
        )?;
        let charged = prometheus::IntGauge::new(
            "cardamomhold_charged_bytes",
            "Bytes held for callers and endpoints' answers",
        )?;
        let options = prometheus::HistogramOpts::new(
            "cardamomhold_queue_seconds",
            "Time that transactions waited for a place at an endpoint",
        );
        let waits =
            prometheus::HistogramVec::new(options.buckets(BUCKETS.to_vec()), &["group", "rank"])?;
        let options = prometheus::Opts::new(
            "cardamomhold_endpoint_load",
            "Waiting and running transactions, their limit, and open connections",
        );
        let loads = prometheus::IntGaugeVec::new(options, &["member", "of"])?;
        let collectors: [Box<dyn Collector>; 8] = [
            Box::new(waits.clone()),
            Box::new(loads.clone()),
            Box::new(statements.clone()),
            Box::new(failures.clone()),
            Box::new(reads.clone()),
            Box::new(callers.clone()),
            Box::new(shed.clone()),
            Box::new(charged.clone()),
        ];
        for collector in collectors {
            registry.register(collector)?;
        }
        Ok(Self {
            registry,
            statements,
            failures,
            reads,
            callers,
            shed,
            charged,
            waits,
            loads,
        })
    }

    /// Records an answered statement.
    pub fn record_statement(
        &self,
        group: &name::GroupName,
        rank: rank::Rank,
        took: time::Duration,
    ) {
        self.statements
            .with_label_values(&[group.as_str(), rank.as_str()])
            .observe(took.as_secs_f64());
    }

    /// Records a statement without a regular answer.
    pub fn record_failure(&self, group: &name::GroupName, rank: rank::Rank, reason: &str) {
        self.failures
            .with_label_values(&[group.as_str(), rank.as_str(), reason])
            .inc();
    }

    /// Records where a declared read ran.
    pub fn record_read(&self, group: &name::GroupName, at_replica: bool) {
        let at = if at_replica { "replica" } else { "primary" };
        self.reads.with_label_values(&[group.as_str(), at]).inc();
    }

    /// Records a new connection of a caller.
    pub fn record_connect(&self) {
        self.callers.inc();
    }

    /// Records the end of a caller's connection.
    pub fn record_disconnect(&self) {
        self.callers.dec();
    }

    /// Records a transaction's time in an endpoint's queue.
    pub fn record_wait(&self, group: &name::GroupName, rank: rank::Rank, took: time::Duration) {
        self.waits
            .with_label_values(&[group.as_str(), rank.as_str()])
            .observe(took.as_secs_f64());
    }

    /// Sets an endpoint's load.
    pub fn set_load(&self, member: &name::MemberName, counts: &endpoint::Counts) {
        for (of, value) in load_values(counts) {
            let gauge = self.loads.with_label_values(&[member.as_str(), of]);
            gauge.set(value as i64);
        }
    }

    /// Removes an endpoint's load.
    pub fn remove_load(&self, member: &name::MemberName) {
        for (of, _) in load_values(&endpoint::Counts::default()) {
            // The removal fails if the endpoint's load was never set.
            let _ = self.loads.remove_label_values(&[member.as_str(), of]);
        }
    }

    /// Records what the task of the budget reports.
    pub fn record_budget(&self, report: accounts::Report) {
        match report {
            accounts::Report::Shed(reason) => {
                self.shed.with_label_values(&[reason.as_str()]).inc();
            }
            accounts::Report::Charged(bytes) => self.charged.set(bytes as i64),
        }
    }

    /// All metrics in the text format.
    pub fn text(&self) -> String {
        let encoder = prometheus::TextEncoder::new();
        encoder
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}

fn load_values(counts: &endpoint::Counts) -> [(&'static str, usize); 4] {
    [
        ("waiting", counts.waiting),
        ("running", counts.running),
        ("limit", counts.limit),
        ("connections", counts.connections),
    ]
}

fn counter(
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<prometheus::IntCounterVec, prometheus::Error> {
    prometheus::IntCounterVec::new(prometheus::Opts::new(name, help), labels)
}
