"""Exposes the metrics of an entry in the Prometheus text format."""

from collections.abc import Callable, Iterator, Mapping
from typing import Any

from ._metrics import QUANTILES, GatewayMetrics

PREFIX = "cicadatiller_"
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class Exposition:
    """Renders counters, gauges and summaries; a collector of `prometheus_client`.

    Args:
        metrics: The counters and histograms.
        gauges: Returns the current gauge values by metric name without `PREFIX`.
        infos: Returns labels that identify a state of the entry, by metric name without `PREFIX`.
    """

    def __init__(
        self,
        *,
        metrics: GatewayMetrics,
        gauges: Callable[[], Mapping[str, float]],
        infos: Callable[[], Mapping[str, Mapping[str, str]]],
    ) -> None:
        self._metrics = metrics
        self._gauges = gauges
        self._infos = infos

    def render(self) -> bytes:
        """Return all metrics as text."""
        # Imported on first use: the library takes 5 MB, wasted on entries that are never scraped.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Any]:
        """Yield the metric families; called by `prometheus_client`."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            InfoMetricFamily,
            SummaryMetricFamily,
        )

        counters = {
            ("finished", "status", "Answers of targets that were passed on whole."): {
                str(status): count for status, count in self._metrics.finished.items()
            },
            ("failed", "kind", "Answers of the system's own."): self._metrics.failed,
            ("sends", "outcome", "Requests that were sent to a target."): self._metrics.sends,
        }
        for (name, label, text), values in counters.items():
            family = CounterMetricFamily(PREFIX + name, text, labels=[label])
            for value, count in sorted(values.items()):
                family.add_metric([value], count)
            yield family
        for name, measured in sorted(self._gauges().items()):
            yield GaugeMetricFamily(PREFIX + name, name.replace("_", " "), value=measured)
        for name, labels in sorted(self._infos().items()):
            yield InfoMetricFamily(PREFIX + name, name, value=dict(labels))
        for name, labels, histogram, unit_s in self._metrics.histograms():
            count = histogram.get_total_count()
            total_s = histogram.get_mean_value() * count * unit_s
            summary = SummaryMetricFamily(PREFIX + name, name, labels=list(labels))
            summary.add_metric(list(labels.values()), count_value=count, sum_value=total_s)
            yield summary
            for quantile in QUANTILES:
                at_s = histogram.get_value_at_percentile(100 * quantile) * unit_s
                gauge = GaugeMetricFamily(
                    f"{PREFIX}{name}_p{round(100 * quantile)}", name, labels=list(labels)
                )
                gauge.add_metric(list(labels.values()), at_s)
                yield gauge
