"""The topics of the store that an entry follows, and what it knows from them."""

from collections.abc import Callable

from ..evacuation import EvacuationSink
from ..fleet import KeyedLog, KeyedPage, TargetDirectory, TargetRecord, Topic
from ..kernel import UnreadableRecords
from ..routes import RouteTable
from ._combined_sink import CombinedSink
from ._followers import TopicFollower
from ._members import MemberSink
from ._node import Bounds
from ._sinks import ConfigurationSink, DocumentDecoder
from ._store_era import share_era, store_gauges
from ._target_sink import TargetSink

CONFIGURATION_LONG_POLL_S = 10.0
# Of the time in which a configuration has to be in force: versions that follow each other faster
# are read together, so that all of them reach an instance with a slow link in time.
CHANGE_INTERVAL_SHARE = 0.15
# Peers announce how many registrations of entries they have read, so that few reads are needed.
MEMBERS_READ_INTERVAL_S = 60.0
# Of the time for which a leaving target may still receive requests; leaves room for a failed read.
TARGET_READ_SHARE = 0.25


class StoreTopics:
    """Follows the topics of the store.

    Args:
        log: The store.
        decoder: Decodes documents.
        directory: Gets the targets.
        bounds: The limits of the deployment.
        target_read_interval_s: The age of the last read of the targets' registrations at which this
            entry reads them again; 0 to derive it from the bounds.
        on_new_table: Called with each configuration that becomes the current one.
        on_target_changed: Called with the instance id of each run of a target that is new or gone.
        on_registered: Called with each registration of a target that was applied.
        on_evacuated: Called with the evacuated data centres when they have changed.
        on_members_change: Called after the registered entries have changed.
        on_read: Called with the topic, the first offset and the page of each read of the targets.
        on_change: Called with the topic after records of it were applied.

    Attributes:
        followers: The follower of each topic.
        configuration: The current configuration.
        evacuations: The evacuated data centres.
        members: The registered entries.
        era: The store's era.
    """

    def __init__(
        self,
        *,
        log: KeyedLog,
        decoder: DocumentDecoder,
        directory: TargetDirectory,
        bounds: Bounds,
        target_read_interval_s: float,
        on_new_table: Callable[[RouteTable], None],
        on_target_changed: Callable[[str], None],
        on_registered: Callable[[TargetRecord], None],
        on_evacuated: Callable[[frozenset[str]], None],
        on_members_change: Callable[[], None],
        on_read: Callable[[Topic, int, KeyedPage], None],
        on_change: Callable[[Topic], None],
    ) -> None:
        self._log = log
        self._target_read_interval_s = target_read_interval_s
        self._on_change = on_change
        self._unreadable = {topic: UnreadableRecords() for topic in (Topic.TARGETS, Topic.MEMBERS)}
        self.configuration = ConfigurationSink(decoder=decoder, on_change=on_new_table)
        self.evacuations = EvacuationSink(
            find_data_centre=decoder.find_evacuated, on_change=on_evacuated
        )
        self.members = MemberSink(
            on_change=on_members_change, unreadable=self._unreadable[Topic.MEMBERS]
        )
        targets = TargetSink(
            decoder=decoder,
            directory=directory,
            unreadable=self._unreadable[Topic.TARGETS],
            on_new_run=on_target_changed,
            on_registered=on_registered,
            on_removed=on_target_changed,
        )
        self.followers = {
            Topic.CONFIGURATION: self._follow_operator(),
            Topic.TARGETS: self._follow_targets(targets, on_read),
            Topic.MEMBERS: self._follow_members(),
        }
        self.era = share_era(self.followers.values())
        self.set_bounds(bounds)

    @property
    def are_read(self) -> bool:
        """Return whether the configuration and the targets are known."""
        has_targets = self.followers[Topic.TARGETS].next_offset is not None
        return self.configuration.table is not None and has_targets

    def set_bounds(self, bounds: Bounds) -> None:
        """Set the limits of the deployment."""
        converge_s = min(bounds.config_converge_s, bounds.evacuate_s)
        self.followers[Topic.CONFIGURATION].change_interval_s = CHANGE_INTERVAL_SHARE * converge_s
        self.followers[Topic.TARGETS].interval_s = (
            self._target_read_interval_s or TARGET_READ_SHARE * bounds.target_drain_s
        )

    def read_soon(self) -> None:
        """Read all topics now, as the known records may be out of date."""
        for follower in self.followers.values():
            follower.read_soon()

    def gauges(self) -> dict[str, float]:
        """Return the metrics of the topics, by name."""
        return {
            "records_unreadable": sum(keys.count for keys in self._unreadable.values()),
            "data_centres_evacuated": len(self.evacuations.evacuated),
            **store_gauges(self.followers),
        }

    def _follow_operator(self) -> TopicFollower:
        return TopicFollower(
            log=self._log,
            topic=Topic.CONFIGURATION,
            sink=CombinedSink(sinks=(self.configuration, self.evacuations)),
            wait_s=CONFIGURATION_LONG_POLL_S,
            on_change=lambda: self._on_change(Topic.CONFIGURATION),
        )

    def _follow_targets(
        self, sink: TargetSink, on_read: Callable[[Topic, int, KeyedPage], None]
    ) -> TopicFollower:
        return TopicFollower(
            log=self._log,
            topic=Topic.TARGETS,
            sink=sink,
            on_read=on_read,
            on_change=lambda: self._on_change(Topic.TARGETS),
            on_store_recovered=lambda: self.followers[Topic.CONFIGURATION].renew_poll(),
        )

    def _follow_members(self) -> TopicFollower:
        return TopicFollower(
            log=self._log,
            topic=Topic.MEMBERS,
            sink=self.members,
            interval_s=MEMBERS_READ_INTERVAL_S,
            on_change=lambda: self._on_change(Topic.MEMBERS),
        )
