//! Metrics whose values are read from other components at each scrape.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::EncodeMetric;
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Unit;
use tokio::time::Instant;

use crate::metric::COUNTER_SUFFIX;
use crate::metric::Description;
use crate::metric::PLATFORM_CALLS;
use crate::metric::PLATFORM_FAILURES;
use crate::platform::CallCounts;
use crate::platform::transport::Transport;
use crate::replica;

/// Reads the platform client's call counts at each scrape, so that they are not counted
/// twice.
pub(crate) struct PlatformCollector(pub(crate) Arc<Transport>);

impl fmt::Debug for PlatformCollector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("PlatformCollector")
            .field(self.0.counts())
            .finish()
    }
}

impl Collector for PlatformCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let counts = self.0.counts();
        encode_kinds(&mut encoder, PLATFORM_CALLS, &calls(counts))?;
        encode_kinds(&mut encoder, PLATFORM_FAILURES, &failures(counts))
    }
}

/// Reads the age of the copy of the store at each scrape.
#[derive(Debug)]
pub(crate) struct ViewAgeCollector(pub(crate) Arc<replica::SharedCopy>);

impl Collector for ViewAgeCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        // There is no copy of the store yet.
        let Some(age) = self.0.age(Instant::now()) else {
            return Ok(());
        };
        let gauge = ConstGauge::new(age.as_secs_f64());
        let help = "Time since the store had nothing newer, large values under way aside.";
        let unit = Some(&Unit::Seconds);
        let metric = encoder.encode_descriptor("view_age", help, unit, MetricType::Gauge)?;
        gauge.encode(metric)
    }
}

/// Reads the latest era of the store at each scrape.
pub(crate) struct EraCollector(pub(crate) Arc<Transport>);

impl fmt::Debug for EraCollector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("EraCollector").field(&self.0.era()).finish()
    }
}

impl Collector for EraCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        // No response has arrived yet.
        let Some(era) = self.0.era() else {
            return Ok(());
        };
        let help = "Latest era of the store, which increases when it is restored.";
        let metric = encoder.encode_descriptor("store_era", help, None, MetricType::Gauge)?;
        ConstGauge::new(i64::from(era.0)).encode(metric)
    }
}

type KindCount<'a> = (&'static str, &'a AtomicU64);

fn calls(counts: &CallCounts) -> [KindCount<'_>; 4] {
    [
        ("read", &counts.reads),
        ("write", &counts.writes),
        ("lease", &counts.leases),
        ("watch", &counts.watches),
    ]
}

fn failures(counts: &CallCounts) -> [KindCount<'_>; 5] {
    [
        ("unreachable", &counts.unreachable),
        ("unanswered", &counts.unanswered),
        ("refused", &counts.refused),
        ("exhausted", &counts.rate_limited),
        ("stale", &counts.stale),
    ]
}

fn encode_kinds(
    encoder: &mut DescriptorEncoder<'_>,
    (name, meaning): Description,
    kinds: &[KindCount<'_>],
) -> fmt::Result {
    let stem = name.strip_suffix(COUNTER_SUFFIX).unwrap_or(name);
    let help = format!("{meaning}.");
    let mut family = encoder.encode_descriptor(stem, &help, None, MetricType::Counter)?;
    for (kind, count) in kinds {
        let labels = [("kind", *kind)];
        let counter = ConstCounter::new(count.load(Ordering::Relaxed));
        counter.encode(family.encode_family(&labels)?)?;
    }
    Ok(())
}
