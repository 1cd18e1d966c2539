"""Decodes the documents that the operator and the targets keep in the store.

Names on the wire are decoded here, once. Where a name misleads, a comment says what it holds.
"""

import json
from collections.abc import Mapping
from typing import Any

from ..fleet import TargetRecord, TargetState
from ..ingress import IngressLimits
from ..routes import (
    EngineModel,
    Route,
    RouteKind,
    RouteTable,
    Service,
    Split,
    Workspace,
    hash_key,
)

STATES = {"ready": TargetState.READY, "draining": TargetState.LEAVING}
KINDS = {"safe": RouteKind.SAFE, "unsafe": RouteKind.UNSAFE, "stream": RouteKind.STREAM}


class DocumentError(ValueError):
    """A document of the store can't be used; the message says why."""


def decode_configuration(value: bytes) -> RouteTable:
    """Decode the operator's configuration.

    Raises:
        DocumentError: If it can't be read.
    """
    try:
        document = json.loads(value)
        return RouteTable(
            version=_whole_number(document, "version"),
            routes=[_decode_route(row) for row in document["routes"]],
            services=[_decode_service(row) for row in document["services"]],
            workspaces=_decode_workspaces(document.get("tenants") or ()),
            needs_keys="tenants" in document,
            limits=_decode_limits(document.get("limits") or {}),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise DocumentError(f"the configuration can't be read: {error!r}") from error


def decode_target(key: str, value: bytes) -> TargetRecord:
    """Decode what a target registered about itself.

    Raises:
        DocumentError: If a field is missing, of another type, or a state that is not known.
    """
    try:
        document = json.loads(value)
        state = STATES.get(document["state"])
        if state is None:
            raise DocumentError(f"unknown state {document['state']!r}")
        # The version of its software and the count of its orders are not used, but an entry without
        # them was not written by a target.
        _text(document, "version")
        _whole_number(document, "sequence")
        return TargetRecord(
            instance_id=key,
            service=_text(document, "service"),
            address=_address(document),
            # "zone" is the data centre.
            data_centre=_text(document, "zone"),
            slots=_slots(document),
            state=state,
            slow_start_s=_number(document, "cold_remaining_ms") / 1000,
            started_ms=_whole_number(document, "born", 0),
        )
    except DocumentError:
        raise
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise DocumentError(f"the entry can't be read: {error!r}") from error


def _decode_route(row: Mapping[str, Any]) -> Route:
    gap_ms = row.get("gap_target_ms")
    return Route(
        name=_text(row, "name"),
        host=_text(row, "hostname").lower(),
        path_prefix=_text(row, "path_prefix"),
        kind=KINDS[row["kind"]],
        splits=_decode_splits(row),
        timeout_s=_number(row, "timeout_ms") / 1000,
        target_latency_s=_number(row, "target_latency_ms") / 1000,
        max_gap_s=None if gap_ms is None else float(gap_ms) / 1000,
        priority=_whole_number(row, "priority", 0),
        max_attempts=max(1, _whole_number(row, "max_attempts", 1)),
        allow_anonymous=bool(row.get("allow_anonymous", False)),
        is_resumable=bool(row.get("stream_resume", False)),
    )


def _decode_splits(row: Mapping[str, Any]) -> tuple[Split, ...]:
    rows = row.get("traffic_split")
    if not rows:
        return (Split(service=_text(row, "service")),)
    return tuple(Split(service=_text(part, "service"), weight=part["weight"]) for part in rows)


def _decode_service(row: Mapping[str, Any]) -> Service:
    engine = row.get("engine")
    return Service(
        name=_text(row, "name"),
        health_path=row.get("health_path") or "/health",
        max_connections=_whole_number(row, "max_connections", 100),
        engine=None if not engine else _decode_engine(engine),
    )


def _decode_engine(row: Mapping[str, Any]) -> EngineModel:
    usual = row.get("usual") or {}
    return EngineModel(
        slots=_whole_number(row, "slots"),
        kv_capacity_tokens=_whole_number(row, "kv_capacity_tokens"),
        step_s=_number(row, "step_ms") / 1000,
        step_per_sequence_s=_number(row, "per_seq_ms", 0) / 1000,
        # Milliseconds for each thousand tokens.
        step_per_context_token_s=_number(row, "context_per_k", 0) / 1e6,
        prefill_tokens_per_s=_number(row, "read_per_s"),
        # Milliseconds for each million pairs.
        prefill_pair_s=_number(row, "pairs_per_m", 0) / 1e9,
        chunk_tokens=_whole_number(row, "chunk", 2048),
        steps_per_pass=max(1, _whole_number(row, "stride", 1)),
        report_lag_s=_number(row, "report_lag_ms", 0) / 1000,
        shared_step_s=_number(row, "hop_ms", 0) / 1000,
        mean_prompt_tokens=_number(usual, "prompt", 0),
        mean_output_tokens=_number(usual, "answer", 0),
    )


def _decode_workspaces(rows: Any) -> dict[bytes, Workspace]:
    workspaces = {}
    for row in rows:
        priority = row.get("priority")
        workspace = Workspace(name=_text(row, "name"), priority=priority)
        for key in row.get("api_keys") or ():
            workspaces[hash_key(key.encode())] = workspace
    return workspaces


def _decode_limits(row: Mapping[str, Any]) -> IngressLimits:
    usual = IngressLimits()
    return IngressLimits(
        max_header_bytes=_whole_number(row, "max_header_bytes", usual.max_header_bytes),
        max_body_bytes=_whole_number(row, "max_body_bytes", usual.max_body_bytes),
        header_timeout_s=_number(row, "header_timeout_ms", usual.header_timeout_s * 1000) / 1000,
        idle_timeout_s=_number(row, "idle_timeout_ms", usual.idle_timeout_s * 1000) / 1000,
    )


def _address(document: Mapping[str, Any]) -> str:
    address = _text(document, "address")
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise DocumentError(f"address {address!r} is not of the form host:port")
    return address


def _slots(document: Mapping[str, Any]) -> int:
    slots = _whole_number(document, "slots")
    if slots < 1:
        raise DocumentError(f"slots must be at least 1, found {slots}")
    return slots


def _text(row: Mapping[str, Any], name: str) -> str:
    value = row[name]
    if not isinstance(value, str) or not value:
        raise DocumentError(f"{name} must be a text that is not empty, found {value!r}")
    return value


def _whole_number(row: Mapping[str, Any], name: str, default: int | None = None) -> int:
    value = row[name] if default is None else row.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise DocumentError(f"{name} must be a whole number, found {value!r}")
    return value


def _number(row: Mapping[str, Any], name: str, default: float | None = None) -> float:
    value = row[name] if default is None else row.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise DocumentError(f"{name} must be a number, found {value!r}")
    return float(value)


class PlatformDocuments:
    """Decodes the documents of the store; see `DocumentDecoder`."""

    def decode_configuration(self, value: bytes) -> RouteTable:
        """Return a configuration; raises `DocumentError`."""
        return decode_configuration(value)

    def decode_target(self, key: str, value: bytes) -> TargetRecord:
        """Return what a target registered; raises `DocumentError`."""
        return decode_target(key, value)
