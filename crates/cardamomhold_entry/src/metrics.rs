//! Prometheus metrics of an instance.

use std::time;

use cardamomhold_budget::accounts;
use cardamomhold_core::name;
use prometheus::core::Collector;

use crate::answer;
use crate::traffic;
use crate::view;

/// Upper bounds of the latency histogram, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// The metrics of an instance; clones share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: prometheus::Registry,
    statements: prometheus::HistogramVec,
    failures: prometheus::IntCounterVec,
    opened: prometheus::IntCounterVec,
    waiting: prometheus::IntGaugeVec,
    calls: prometheus::IntCounterVec,
    callers: prometheus::IntGauge,
    evicted: prometheus::IntCounterVec,
    unauthorized: prometheus::IntCounterVec,
    limited: prometheus::IntCounterVec,
    limit_holder: prometheus::IntGauge,
    shed: prometheus::IntCounterVec,
    charged: prometheus::IntGauge,
    traffic: traffic::Traffic,
}

fn counter(
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<prometheus::IntCounterVec, prometheus::Error> {
    prometheus::IntCounterVec::new(prometheus::Opts::new(name, help), labels)
}

fn consistency(route: &view::Route) -> &'static str {
    match route.consistency {
        view::Consistency::Primary => "primary",
        view::Consistency::Bounded(_) => "bounded",
        view::Consistency::OwnWrites(_) => "own_writes",
    }
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// [`prometheus::Error`] when a name is not accepted.
    pub fn new() -> Result<Self, prometheus::Error> {
        let options = prometheus::HistogramOpts::new(
            "cardamomhold_statement_seconds",
            "Time from a statement's arrival to its answer",
        );
        let labels = ["group", "rank", "consistency"];
        let metrics = Self {
            registry: prometheus::Registry::new(),
            statements: prometheus::HistogramVec::new(
                options.buckets(LATENCY_BUCKETS_S.into()),
                &labels,
            )?,
            failures: counter(
                "cardamomhold_failures_total",
                "Statements without success",
                &["group", "rank", "code"],
            )?,
            opened: counter(
                "cardamomhold_connections_opened_total",
                "Connections opened to members",
                &["member"],
            )?,
            waiting: prometheus::IntGaugeVec::new(
                prometheus::Opts::new("cardamomhold_waiting", "Work that waits for a connection"),
                &["group"],
            )?,
            calls: counter(
                "cardamomhold_store_calls_total",
                "Calls of the store",
                &["call", "result"],
            )?,
            callers: prometheus::IntGauge::new(
                "cardamomhold_callers",
                "Open connections of callers",
            )?,
            evicted: counter(
                "cardamomhold_connections_evicted_total",
                "Idle connections to members closed for another workspace",
                &["member"],
            )?,
            unauthorized: counter(
                "cardamomhold_unauthorized_total",
                "Sessions and statements refused since no workspace holds the key",
                &["at"],
            )?,
            limited: counter(
                "cardamomhold_limit_operations_total",
                "Operations of workspaces with a limit, as decided by this instance",
                &["workspace", "result"],
            )?,
            limit_holder: prometheus::IntGauge::new(
                "cardamomhold_limit_holder",
                "Whether this instance grants the tokens of all workspaces",
            )?,
            shed: counter(
                "cardamomhold_shed_total",
                "Connections that were refused or closed to stay within the limits",
                &["reason"],
            )?,
            charged: prometheus::IntGauge::new(
                "cardamomhold_charged_bytes",
                "Bytes held for callers and other instances",
            )?,
            traffic: traffic::Traffic::new()?,
        };
        let collectors: [Box<dyn Collector>; 12] = [
            Box::new(metrics.statements.clone()),
            Box::new(metrics.failures.clone()),
            Box::new(metrics.opened.clone()),
            Box::new(metrics.waiting.clone()),
            Box::new(metrics.calls.clone()),
            Box::new(metrics.callers.clone()),
            Box::new(metrics.evicted.clone()),
            Box::new(metrics.unauthorized.clone()),
            Box::new(metrics.limited.clone()),
            Box::new(metrics.limit_holder.clone()),
            Box::new(metrics.shed.clone()),
            Box::new(metrics.charged.clone()),
        ];
        let traffic = metrics.traffic.collectors();
        for collector in collectors.into_iter().chain(traffic) {
            metrics.registry.register(collector)?;
        }
        Ok(metrics)
    }

    /// Records an answered statement.
    pub fn record_answer(
        &self,
        route: &view::Route,
        code: Option<answer::Code>,
        took: time::Duration,
    ) {
        let rank = route.rank.to_string();
        let group = route.group.as_str();
        self.statements
            .with_label_values(&[group, &rank, consistency(route)])
            .observe(took.as_secs_f64());
        if let Some(code) = code {
            self.failures
                .with_label_values(&[group, &rank, code.as_str()])
                .inc();
        }
    }

    /// Counts an attempt to open a connection to a member.
    pub fn record_open(&self, member: &name::MemberName) {
        self.opened.with_label_values(&[member.as_str()]).inc();
    }

    /// Counts an idle connection that was closed for another workspace.
    pub fn record_eviction(&self, member: &name::MemberName) {
        self.evicted.with_label_values(&[member.as_str()]).inc();
    }

    /// Counts a refusal for lack of a workspace, at the `start` of a session, at a `statement` or
    /// by an `owner`.
    pub fn record_unauthorized(&self, at: &str) {
        self.unauthorized.with_label_values(&[at]).inc();
    }

    /// Sets the number of requests that wait for a connection.
    pub fn set_waiting(&self, group: &name::GroupName, count: usize) {
        self.waiting
            .with_label_values(&[group.as_str()])
            .set(count as i64);
    }

    /// Counts a call of the store.
    pub fn record_call(&self, call: &str, result: &str) {
        self.calls.with_label_values(&[call, result]).inc();
    }

    /// Counters of messages by kind.
    pub fn traffic(&self) -> &traffic::Traffic {
        &self.traffic
    }

    /// Adds `change` to the number of open caller connections.
    pub fn add_callers(&self, change: i64) {
        self.callers.add(change);
    }

    /// Counts an operation of a workspace with a limit.
    pub fn record_limited(&self, workspace: &str, result: &str) {
        self.limited.with_label_values(&[workspace, result]).inc();
    }

    /// Sets whether this instance grants the tokens of all workspaces.
    pub fn set_limit_holder(&self, is_holder: bool) {
        self.limit_holder.set(is_holder.into());
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

    /// Encodes all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let encoder = prometheus::TextEncoder::new();
        match encoder.encode_to_string(&self.registry.gather()) {
            Ok(text) => text,
            Err(error) => {
                log::warn!("event=metrics_unwritable error=\"{error}\"");
                String::new()
            }
        }
    }
}
