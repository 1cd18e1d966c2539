"""Processor time that fingerprints cost a request, and the size of what entries tell of them."""

import hashlib
import json
import os
import time
from collections.abc import Callable

import cbor2

from cicadatiller.entry import WorkRequest
from cicadatiller.entry._crash_guard import request_fingerprint
from cicadatiller.entry._prompt_parts import PartNames
from cicadatiller.fleet import FingerprintBreakers, RequestLoss
from cicadatiller.fleet._losses import MAX_LOSSES
from cicadatiller.gateway._fingerprint import fingerprints
from cicadatiller.ingress import IngressLimits, Request, RequestParser
from cicadatiller.mesh import Evidence, LostRequest
from cicadatiller.mesh._evidence import to_rows

ROUNDS = 15
CALLS = 50
READ_BYTES = 65_536
PARTS = ("5a17c0de", "5b17c0de", "f117c0de")
BODY_BYTES = (1_000, 600_000)
LIMITS = IngressLimits()
REQUEST = b"POST /orders/7 HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n"
US_PER_S = 1e6
# A line of a prompt, without its number and its line break.
LINE = " a line of a prompt that is shared by all requests of a route"
SHORT_INTERVAL_S = 0.01
LONG_INTERVAL_S = 1.0


class _Listener:
    def request_lost(self, loss: RequestLoss) -> None:
        pass

    def breaker_opened(self, opened: object) -> None:
        pass

    def fingerprint_cleared(self, fingerprint: str, cleared_s: float) -> None:
        pass


def measure_hash_us(body_bytes: int) -> float:
    """Return the least processor time to hash a body in pieces as it is read, in microseconds."""
    body = os.urandom(body_bytes)
    pieces = [body[at : at + READ_BYTES] for at in range(0, len(body), READ_BYTES)]

    def hash_body() -> None:
        digest = hashlib.sha256()
        for piece in pieces:
            digest.update(piece)
        digest.digest()

    return _least_us(hash_body)


def measure_account_us(prompt_parts: tuple[str, ...]) -> float:
    """Return the least processor time of a request's fingerprints, apart from its body's hash."""
    (request,) = RequestParser(limits=lambda: LIMITS).feed(REQUEST, 0.0)
    breakers = FingerprintBreakers(listener=_Listener())
    return _least_us(lambda: _account(request, breakers, prompt_parts))


def measure_own_interface_us(prompt_bytes: int) -> float:
    """Return the least processor time of a prompt's fingerprint on the own interface."""
    request = _make_request("x" * prompt_bytes)
    return _least_us(lambda: request_fingerprint(request))


def measure_own_parts_us(prompt_bytes: int, interval_s: float) -> float:
    """Return the least processor time, in microseconds, to record the fingerprints of a prompt.

    Args:
        prompt_bytes: The size of the prompts, which share all lines but the last.
        interval_s: The time between two prompts that finish.
    """
    lines = [f"{number:03d}{LINE}" for number in range(prompt_bytes // (len(LINE) + 4))]
    breakers = FingerprintBreakers(listener=_Listener())
    names = PartNames()
    requests = iter([_make_request("\n".join([*lines, f"{n}"])) for n in range(ROUNDS * CALLS)])
    now_s = 0.0

    def finish() -> None:
        nonlocal now_s
        now_s += interval_s
        request = next(requests)
        parts = names.shared_names(request, now_s)
        breakers.record_finished((*parts, request_fingerprint(request)), now_s)

    return _least_us(finish)


def _make_request(prompt: str) -> WorkRequest:
    return WorkRequest(workspace="depots", time_limit_s=1.0, model="glacier", prompt=prompt)


def _least_us(work: Callable[[], None]) -> float:
    """Return the least time of a call over some rounds, as other processes only add to it."""
    taken_us = []
    for _ in range(ROUNDS):
        began_s = time.process_time()
        for _ in range(CALLS):
            work()
        taken_us.append((time.process_time() - began_s) / CALLS * US_PER_S)
    return round(min(taken_us), 1)


def _account(
    request: Request, breakers: FingerprintBreakers, prompt_parts: tuple[str, ...]
) -> None:
    names = fingerprints(request, host="n", workspace="reef", prompt_parts=prompt_parts)
    breakers.objections_end_s(names, 0.0)
    breakers.find_open(names, 0.0)
    breakers.record_finished(names, 0.0)


def loss_bytes() -> int:
    """Return the size of a message about one loss."""
    lost = LostRequest(
        target_id="i-4d58e37118",
        request=PARTS[-1],
        fingerprints=tuple(
            fingerprints(
                RequestParser(limits=lambda: LIMITS).feed(REQUEST, 0.0)[0],
                host="n",
                workspace="reef",
                prompt_parts=PARTS,
            )
        ),
        sent_age_s=0.5,
        lost_age_s=0.1,
    )
    return _evidence_bytes(lost)


def own_loss_bytes() -> int:
    """Return the size of a message about one loss of a prompt with all parts it may have."""
    request = _make_request("\n".join(f"{number:02d}{LINE}" for number in range(2_000)))
    whole = request_fingerprint(request)
    lost = LostRequest(
        target_id="10.1.0.40:9100/7f3a9c0d12ab",
        request=whole,
        fingerprints=(*PartNames().all_names(request), whole),
        sent_age_s=0.5,
        lost_age_s=0.1,
    )
    return _evidence_bytes(lost)


def _evidence_bytes(lost: LostRequest) -> int:
    return len(cbor2.dumps(to_rows(Evidence(losses=(lost,)))))


def main() -> None:
    figures: dict[str, float] = {"loss_bytes": loss_bytes(), "own_loss_bytes": own_loss_bytes()}
    figures["all_losses_bytes"] = MAX_LOSSES * loss_bytes()
    figures["call_us"] = measure_account_us(())
    figures["prompt_us"] = measure_account_us(PARTS)
    for size in BODY_BYTES:
        figures[f"hash_of_{size}_bytes_us"] = measure_hash_us(size)
        figures[f"own_interface_{size}_bytes_us"] = measure_own_interface_us(size)
        for interval_s in (SHORT_INTERVAL_S, LONG_INTERVAL_S):
            figures[f"own_parts_{size}_bytes_each_{interval_s}_s_us"] = measure_own_parts_us(
                size, interval_s
            )
    print(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
