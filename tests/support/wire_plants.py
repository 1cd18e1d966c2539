"""Faults of the wire that are planted again, to see that the fuzzer finds them."""

from unittest import mock

from cicadatiller.egress import ResponseMatch, ResponseMatcher
from cicadatiller.egress import _connection as connection
from cicadatiller.egress._inner_head import InnerHeadSearch
from cicadatiller.egress._unsent import UnsentWatch
from cicadatiller.gateway import _stream as stream
from cicadatiller.gateway._stream import StreamRelay

REPORTS = frozenset({"report"})
NOT_RUN = b"not-executed"

_match = ResponseMatcher.match
_may_follow = ResponseMatcher.may_follow
_is_next_event = stream._is_next_event
_finish = StreamRelay._finish


def _patch_matcher(**changes):
    return [mock.patch.object(ResponseMatcher, name, value) for name, value in changes.items()]


def _share_orders():
    """Orders and reports take any response, and share connections with requests."""

    def match(matcher, head, history):
        return ResponseMatch.OWN if matcher.exchange_id is None else _match(matcher, head, history)

    def may_follow(matcher, history):
        return matcher.exchange_id is None or hash(matcher.exchange_id) not in history.ids

    return _patch_matcher(match=match, may_follow=may_follow, keeps_connection=True)


def _take_unmatched(is_taken):
    """A request takes a response without an id if `is_taken` says so of its head."""

    def match(matcher, head, history):
        is_request = matcher.exchange_id is not None
        if is_request and not matcher.read_ids(head) and is_taken(head):
            return ResponseMatch.OWN
        return _match(matcher, head, history)

    return _patch_matcher(match=match)


def _says_not_run(head):
    return head.status == 421 or head.find(NOT_RUN) is not None


def _pass_on_unsigned():
    """A success without the signature is forwarded."""

    def match(matcher, head, history):
        is_own = matcher.exchange_id is not None and matcher.read_ids(head) == (
            matcher.exchange_id,
        )
        return ResponseMatch.OWN if is_own else _match(matcher, head, history)

    return _patch_matcher(match=match)


def _send_twice_on_connection():
    """A second send of a request may use the connection of the first one."""

    def may_follow(matcher, history):
        if matcher.exchange_id is None:
            return _may_follow(matcher, history)
        return history.names_responses or not history.unnamed

    return _patch_matcher(may_follow=may_follow)


def _share_reports():
    """Reports take any response, and share connections with requests."""

    def match(matcher, head, history):
        return ResponseMatch.OWN if matcher.exchange in REPORTS else _match(matcher, head, history)

    def may_follow(matcher, history):
        if matcher.exchange_id is not None:
            return history.unnamed <= REPORTS and hash(matcher.exchange_id) not in history.ids
        return matcher.exchange in REPORTS or _may_follow(matcher, history)

    return _patch_matcher(match=match, may_follow=may_follow)


def _take_event_without_id():
    """An event without an id is taken as the next one of a numbered stream."""

    def is_next(event_id, last_event_id):
        return not event_id or _is_next_event(event_id, last_event_id)

    return [mock.patch.object(stream, "_is_next_event", is_next)]


def _take_end_without_event():
    """An end without any event is taken as the end of a resumed stream."""

    async def finish(relay, head):
        relay._has_begun = True
        return await _finish(relay, head)

    return [mock.patch.object(StreamRelay, "_finish", finish)]


def _search_no_inner_head():
    """A body with the head of another response in it is taken."""
    names = ("is_found_in", "is_found_across_end")
    return [mock.patch.object(InnerHeadSearch, name, lambda *_: False) for name in names]


def _take_any_status():
    """A status is any number of three digits."""
    return [mock.patch.object(connection, "check_status", lambda status: status)]


def _take_early_end():
    """An answer without a length is whole at the end of what is sent, whatever is unsent."""
    return [mock.patch.object(UnsentWatch, "is_unsent", False)]


PLANTS = {
    "any-status": _take_any_status,
    "early-end": _take_early_end,
    "a-shared-orders": _share_orders,
    "b-unmatched-answer": lambda: _take_unmatched(lambda head: True),
    "c-unsigned-stream": _pass_on_unsigned,
    "c-unmatched-failure": lambda: _take_unmatched(
        lambda head: 400 <= head.status < 500 and not _says_not_run(head)
    ),
    "c-unmatched-refusal": lambda: _take_unmatched(_says_not_run),
    "d-second-send": _send_twice_on_connection,
    "e-shared-reports": _share_reports,
    "filled-body": _search_no_inner_head,
    "resumed-event-without-id": _take_event_without_id,
    "resumed-end-without-event": _take_end_without_event,
}
