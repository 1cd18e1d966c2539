"""The periodic log line with the counters and measurements of a process."""

import asyncio
from collections.abc import Callable, Mapping

from ..egress import ConnectionPool
from ..kernel import Event, log_event
from ._metrics import GatewayMetrics

FIGURES_INTERVAL_S = 10.0


class FiguresLog:
    """Logs figures every `FIGURES_INTERVAL_S`.

    Args:
        metrics: The measured latencies.
        gauges: Returns the further figures by name.
    """

    def __init__(
        self, *, metrics: GatewayMetrics, gauges: Callable[[], Mapping[str, float]]
    ) -> None:
        self._metrics = metrics
        self._gauges = gauges
        self._loop = asyncio.get_running_loop()
        self._next_s = self._loop.time() + FIGURES_INTERVAL_S

    def log_if_due(self) -> None:
        """Write the line if the interval has passed since the last one."""
        now_s = self._loop.time()
        if now_s < self._next_s:
            return
        self._next_s = now_s + FIGURES_INTERVAL_S
        added = self._metrics.added_us
        log_event(
            Event.FIGURES,
            added_p50_ms=added.get_value_at_percentile(50) / 1000,
            added_p95_ms=added.get_value_at_percentile(95) / 1000,
            added_count=added.get_total_count(),
            **self._gauges(),
        )


def pool_gauges(pool: ConnectionPool) -> dict[str, float]:
    """Return the metrics of the connections to targets, by name."""
    return {
        "target_connections_opened": pool.opened,
        "target_connections_reused": pool.reused,
        "target_responses_stray": pool.strays,
    }
