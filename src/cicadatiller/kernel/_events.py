"""The log events; docs/EVENTS.md lists them."""

import enum

from eliot import log_message


class Event(enum.Enum):
    """A log event: its number, level and meaning.

    Numbers are never reused. 1xx process, 2xx requests, 3xx peers, 4xx targets, 5xx membership,
    6xx configuration, 7xx engine orders.
    """

    PROCESS_STARTED = (100, "info", "A process finished starting.")
    PROCESS_STOPPING = (101, "info", "A process began its graceful shutdown.")
    PROCESS_STOPPED = (102, "info", "A process finished its graceful shutdown.")
    TASK_FAILED = (103, "error", "A task raised an error; long-running background tasks restart.")
    HTTP_PROBLEM = (104, "warning", "The HTTP server reported an error on a connection.")
    SETTINGS_RELOADED = (105, "info", "The settings were reloaded.")
    SETTINGS_REFUSED = (106, "warning", "Changed settings are invalid; the old ones stay in use.")
    CLOCK_JUMPED = (107, "warning", "The machine was suspended; the store is read again.")
    FIGURES = (108, "info", "A periodic report of the process's counters and measurements.")
    STALLED = (109, "warning", "The event loop was blocked for long.")
    REQUEST_FINISHED = (201, "info", "A request was answered completely.")
    REQUEST_REFUSED = (202, "info", "A request was refused before it ran.")
    REQUEST_FAILED = (203, "warning", "A request failed after it may have run.")
    REQUEST_RETRIED = (204, "info", "A request was sent to another target.")
    REQUEST_RESUMED = (205, "info", "A stream was resumed over a new connection.")
    FRAME_DROPPED = (206, "info", "A late, repeated or reordered frame was dropped.")
    CHECKSUM_MISMATCH = (207, "error", "An answer did not match its checksum.")
    CALLER_REFUSED = (210, "info", "A caller's HTTP request was invalid, too large or too slow.")
    REQUEST_PLACED = (211, "info", "A request was assigned to its targets.")
    REQUEST_ABANDONED = (212, "info", "A caller disconnected before the end of its response.")
    RESPONSE_CUT = (213, "warning", "A caller's connection was closed within its response.")
    CONNECTION_REFUSED = (214, "warning", "Too many connections of callers; one was closed unread.")
    CONNECTION_EVICTED = (
        215,
        "warning",
        "A caller's connection was closed, as it made no progress and others needed what it held.",
    )
    PEER_CONNECTED = (300, "info", "A peer connection was established.")
    PEER_LOST = (301, "warning", "A peer connection was lost or timed out.")
    PEER_REMOVED = (303, "warning", "A peer that was unreachable for long was removed.")
    PEER_BACKLOG = (304, "warning", "A link was closed, as too many bytes waited for the peer.")
    EVIDENCE_REFUSED = (
        305,
        "warning",
        "A peer's malformed message about what crashes targets was ignored.",
    )
    PEER_REFUSED = (302, "warning", "A peer was refused: wrong secret, name, version or frame.")
    TARGET_ATTACHED = (400, "info", "A sidecar connected to its target.")
    TARGET_LOST = (401, "warning", "A sidecar can't reach its target.")
    CANCEL_RETRIED = (402, "info", "A cancel was not confirmed and was sent again.")
    TARGET_FAILED = (404, "warning", "An attempt at a target failed and was not retried.")
    TARGET_AWAITED = (
        406,
        "info",
        "No other target can take a request, so an unresponsive one is awaited.",
    )
    TARGET_PACE = (405, "info", "A target's slowdown factor against its model changed.")
    TARGET_QUIET = (407, "info", "A target wants no requests from this entry for some time.")
    EVIDENCE_READ = (417, "info", "What the store holds of what crashes targets was read.")
    FINGERPRINT_REFUSED = (
        412,
        "warning",
        "Targets crash under a part of prompts or a request, which is refused.",
    )
    FINGERPRINT_CLEARED = (
        413,
        "info",
        "A request that was refused as targets crashed under it finished.",
    )
    LOSS_CHECKED = (
        414,
        "info",
        "The target of a lost request was dialled; the loss is evidence if the target ended.",
    )
    RESPONSE_STRAY = (
        415,
        "warning",
        "A server sent a response that does not belong to the exchange that read it.",
    )
    TARGET_LIMITED = (
        408,
        "info",
        "A target's limit on the requests of all entries began, ended or changed by over a fifth.",
    )
    TARGET_COLD = (
        416,
        "info",
        "A target is cold for some time and takes a limited rate of requests meanwhile.",
    )
    ORPHAN_CANCELLED = (403, "warning", "A stream or export without an owner was removed.")
    GANG_RESERVED = (410, "info", "A gang of engines was reserved for one prompt.")
    GANG_RELEASED = (411, "info", "A gang of engines was released.")
    INSTANCE_SEEN = (500, "info", "An instance appeared in the instance list.")
    INSTANCE_GONE = (501, "info", "An instance left the instance list.")
    TARGET_LEAVING = (502, "info", "A target began to leave.")
    BREAKER_OPENED = (503, "warning", "A target was ejected after failures.")
    BREAKER_CLOSED = (504, "info", "A target was readmitted after a successful probe or request.")
    EVACUATION_STARTED = (506, "info", "A data centre was evacuated; its targets get no new work.")
    EVACUATION_ENDED = (507, "info", "The evacuation of a data centre was taken back.")
    LOG_READ_FAILED = (600, "warning", "The platform's log could not be read.")
    CHANGE_ACCEPTED = (601, "info", "A configuration change was accepted.")
    CHANGE_REFUSED = (602, "info", "A configuration change was rejected.")
    CHANGE_UNSETTLED = (603, "warning", "The verdict of a configuration change is unknown.")
    SNAPSHOT_WRITTEN = (604, "info", "A snapshot of the configuration was written.")
    CONFIG_FROM_PEER = (605, "info", "Newer configuration came from a peer.")
    SNAPSHOT_FAILED = (606, "warning", "A snapshot of the configuration could not be written.")
    CONFIG_IN_FORCE = (607, "info", "A version of the configuration became current.")
    CONFIG_UNREADABLE = (608, "warning", "A configuration in the store could not be decoded.")
    ENTRY_UNREADABLE = (505, "warning", "A target's or peer's record or report was unreadable.")
    LOG_READ_AGAIN = (609, "info", "The platform's log can be read again.")
    POLL_RENEWED = (610, "info", "A long poll of the store was cancelled and sent again.")
    STORE_ERA_CHANGED = (611, "warning", "The store came back from an older copy.")
    STORE_COPY_MERGED = (612, "info", "The records of the store's copy were merged into a topic.")
    STORE_WRITTEN_AGAIN = (613, "info", "A record that the store's copy lacks was written again.")
    ORDER_SENT = (700, "info", "An order was sent to an engine.")
    ORDER_FAILED = (701, "warning", "An order to an engine failed and will be retried.")
    ORDER_REFUSED = (702, "warning", "An engine refused an order with a stale fencing number.")
    LEASE_LAPSED = (703, "warning", "A lease expired; the state is read again before any order.")

    @property
    def number(self) -> int:
        """Return the number that each log line of the event carries."""
        return self.value[0]

    @property
    def level(self) -> str:
        """Return the severity: "info", "warning" or "error"."""
        return self.value[1]

    @property
    def meaning(self) -> str:
        """Return the description, which docs/EVENTS.md repeats."""
        return self.value[2]


def log_event(event: Event, **fields: object) -> None:
    """Write one structured log line.

    Args:
        event: The event.
        **fields: Further fields; the name of a quantity ends in its unit.
    """
    log_message(
        message_type=f"cicadatiller:{event.name.lower()}",
        number=event.number,
        level=event.level,
        **fields,
    )
