"""Reports the load of the target."""

from collections.abc import Callable

from ..config import ConfigStore
from ..peer import LoadReport
from ._engine_driver import EngineDriver
from ._scheduler import Scheduler
from ._service_runs import ServiceRuns


class EngineLoadSource:
    """Reports the load of an engine as counted by the sidecar's scheduler.

    Args:
        driver: Sends requests to the engine.
        scheduler: The request queue and the memory accounting of the engine.
        store: The current configuration.
        order_error: Returns why the last order failed; empty if it did not.
    """

    def __init__(
        self,
        *,
        driver: EngineDriver,
        scheduler: Scheduler,
        store: ConfigStore,
        order_error: Callable[[], str],
    ) -> None:
        self._driver = driver
        self._order_error = order_error
        self._scheduler = scheduler
        self._store = store
        self._sequence = 0

    def report(self, *, leaving: bool) -> LoadReport:
        """Return the current load."""
        self._sequence += 1
        info = self._driver.info
        loaded = () if info is None else tuple(str(model) for model in info.loaded)
        return LoadReport(
            sequence=self._sequence,
            leaving=leaving,
            loaded=loaded if self._driver.reachable else (),
            queued=self._scheduler.queued,
            queued_prompt_tokens=self._scheduler.queued_prompt_tokens,
            prefilling_prompt_tokens=self._scheduler.prefilling_tokens,
            prefilling_long_tokens=self._scheduler.prefilling_long_tokens,
            running=self._scheduler.running(),
            kv_used_tokens=self._scheduler.used_tokens(),
            kv_capacity_tokens=self._scheduler.capacity_tokens,
            prefill_tokens_per_s=self._scheduler.rates.prefill_tokens_per_s,
            prefill_sample_tokens=self._scheduler.rates.sample_tokens,
            decode_tokens_per_s=self._scheduler.rates.decode_tokens_per_s,
            config_offset=self._store.state.offset,
            order_error=self._order_error(),
            supports_gang=info is not None and info.supports_gang,
            target_run="" if info is None else info.epoch,
        )


class ServiceLoadSource:
    """Reports the load of a plain service.

    Args:
        store: The current configuration.
        runs: Knows the run of the service.
    """

    def __init__(self, *, store: ConfigStore, runs: ServiceRuns) -> None:
        self._store = store
        self._runs = runs
        self._sequence = 0

    def report(self, *, leaving: bool) -> LoadReport:
        """Return the current load."""
        self._sequence += 1
        return LoadReport(
            sequence=self._sequence,
            leaving=leaving,
            config_offset=self._store.state.offset,
            target_run=self._runs.current,
        )
