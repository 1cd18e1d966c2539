"""Tells the response to one exchange from other responses on the same connection."""

import enum
from dataclasses import dataclass, field

from ._response import ResponseHead

FIRST_SUCCESS = 200
FIRST_NON_SUCCESS = 300
# Headers that a response without an id has, too.
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class ResponseMatch(enum.Enum):
    """To which exchange a response belongs."""

    OWN = "own"
    """The response is that to the exchange."""

    OTHER = "other"
    """The response states that it belongs to another exchange."""

    UNMATCHED = "unmatched"
    """The response does not match the exchange, and states no other one."""


class Substitute(enum.Enum):
    """Which earlier response without an id does as well as the one to the exchange."""

    NONE = "none"
    """None: what the response says must be true now."""

    SAME_KIND = "same kind"
    """One to an exchange of the same kind, as it may be some seconds old."""

    ANY = "any"
    """Any, as only whether the server responds is of interest."""


@dataclass(kw_only=True, slots=True)
class ExchangeHistory:
    """The exchanges that a connection has carried.

    Attributes:
        ids: The hashes of the ids of those that have one.
        unnamed: The kinds of those that have none.
        names_responses: Whether the server is known to name its responses to requests, so that one
            without an id belongs to none.
    """

    ids: set[int] = field(default_factory=set)
    unnamed: set[str] = field(default_factory=set)
    names_responses: bool = False

    @property
    def may_owe_surplus(self) -> bool:
        """Return whether a response without an id, in an exchange with one, is of an earlier one."""
        has_earlier = len(self.ids) > 1 or bool(self.unnamed)
        return self.names_responses and has_earlier


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseMatcher:
    """Finds the response to an exchange among others.

    A server may repeat the response to an earlier exchange of a connection, or add one of its own.
    Where responses bear ids, such a one is found by its id; where they bear none, no earlier
    exchange of the connection may have a response that could be taken for the expected one.

    Attributes:
        exchange: What is exchanged: "request", "order", "report".
        id_header: The lower-case name of the header in which a server repeats the id of a request;
            empty if no response of this server has one.
        exchange_id: The id that the response bears; None if it bears none.
        signature_header: The lower-case name of the header that a successful response must have;
            empty if it needs none.
        foreign_header: The lower-case name of a header that only responses to other exchanges have;
            empty if there is none.
        substitute: Which earlier response does as well, if the expected one bears no id.
        distinct_from: The kinds of exchanges without an id whose responses whoever reads the body
            tells from the expected one.
        transient_headers: The lower-case names of headers by which a server states what holds for
            a time only.
    """

    exchange: str
    id_header: bytes = b""
    exchange_id: bytes | None = None
    signature_header: bytes = b""
    foreign_header: bytes = b""
    substitute: Substitute = Substitute.NONE
    distinct_from: frozenset[str] = frozenset()
    transient_headers: frozenset[bytes] = frozenset()

    def inner_headers(self, history: ExchangeHistory) -> tuple[bytes, ...]:
        """Return the names of the headers by which another response is found within the body.

        Only responses of such a server have them, unless the connection may owe one without an id.
        """
        names = {self.id_header, self.signature_header, self.foreign_header} - {b""}
        if names and self.exchange_id is not None and history.unnamed:
            names.update(FRAMING_HEADERS)
        return tuple(sorted(names))

    @property
    def keeps_connection(self) -> bool:
        """Return whether other exchanges may follow on the same connection."""
        return bool(self.id_header) or self.substitute is not Substitute.NONE

    def may_follow(self, history: ExchangeHistory) -> bool:
        """Return whether no earlier response on a connection could be taken for the expected one."""
        if self.exchange_id is not None:
            can_tell = history.names_responses or not history.unnamed
            return can_tell and hash(self.exchange_id) not in history.ids
        match self.substitute:
            case Substitute.NONE:
                # A response to an exchange with an id may come again without it.
                can_tell = bool(self.foreign_header) or not history.ids
                return can_tell and history.unnamed <= self.distinct_from
            case Substitute.SAME_KIND:
                return history.unnamed <= {self.exchange} | self.distinct_from
            case Substitute.ANY:
                return True

    def preference(self, history: ExchangeHistory) -> int:
        """Return the rank of a connection among those that may be used, 0 for the best one.

        An exchange without an id leaves alone the connections that exchanges of other kinds need.
        """
        if self.exchange_id is not None or self.exchange in history.unnamed:
            return 0
        return 2 if history.unnamed else 1

    def record(self, history: ExchangeHistory) -> None:
        """Add the exchange to the history of its connection."""
        if self.exchange_id is not None:
            history.ids.add(hash(self.exchange_id))
        else:
            history.unnamed.add(self.exchange)

    def match(self, head: ResponseHead, history: ExchangeHistory) -> ResponseMatch:
        """Return whether a response belongs to the exchange.

        Args:
            head: The response.
            history: The exchanges of the connection, with this one.
        """
        found = self.read_ids(head)
        if len(found) > 1:
            return ResponseMatch.UNMATCHED
        if self.foreign_header and head.find(self.foreign_header) is not None:
            return ResponseMatch.OTHER
        if not found and self.exchange_id is not None:
            return ResponseMatch.OTHER if history.may_owe_surplus else ResponseMatch.UNMATCHED
        if found and found[0] != self.exchange_id:
            return ResponseMatch.OTHER if self._may_be_late(history) else ResponseMatch.UNMATCHED
        if head.has_status_line_in_header:
            return ResponseMatch.UNMATCHED
        is_success = FIRST_SUCCESS <= head.status < FIRST_NON_SUCCESS
        if is_success and self.signature_header and head.find(self.signature_header) is None:
            return ResponseMatch.UNMATCHED
        return ResponseMatch.OWN

    def is_surplus(self, head: ResponseHead, history: ExchangeHistory) -> bool:
        """Return whether a discarded response bears the id of an earlier exchange."""
        return any(hash(value) in history.ids for value in self.read_ids(head))

    def is_safe_if_repeated(self, head: ResponseHead) -> bool:
        """Return whether the response to the exchange may come again without harm.

        One with an id is discarded then. One without an id may be taken for that to a later
        exchange, which is wrong if it states what held for a time only.
        """
        if self.read_ids(head):
            return True
        return self.transient_headers.isdisjoint(name.lower() for name, _ in head.headers)

    def _may_be_late(self, history: ExchangeHistory) -> bool:
        """Return whether a response with another id may be that to an earlier exchange.

        An exchange whose response must be true now takes none behind one that belongs to nothing.
        """
        is_strict = self.exchange_id is None and self.substitute is Substitute.NONE
        return bool(history.ids) or not is_strict

    def read_ids(self, head: ResponseHead) -> tuple[bytes, ...]:
        """Return the ids that a response bears; more than one if it was cut within its head."""
        if not self.id_header:
            return ()
        return tuple(value for value in head.find_all(self.id_header) if value)
