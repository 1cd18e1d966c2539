"""Decodes the documents that the operator and the targets write to the store.

This module maps the platform's field names to those of the project. A comment explains each field
whose name does not describe its content.
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

TARGET_STATES = {"ready": TargetState.READY, "draining": TargetState.LEAVING}
ROUTE_KINDS = {"safe": RouteKind.SAFE, "unsafe": RouteKind.UNSAFE, "stream": RouteKind.STREAM}


class DocumentError(ValueError):
    """A document from the store is invalid; the message gives the reason."""


def decode_configuration(value: bytes) -> RouteTable:
    """Decode the operator's configuration.

    Raises:
        DocumentError: If it can't be decoded.
    """
    try:
        document = json.loads(value)
        return RouteTable(
            version=_get_integer(document, "version"),
            routes=[_decode_route(row) for row in document["routes"]],
            services=[_decode_service(row) for row in document["services"]],
            workspaces=_decode_workspaces(document.get("tenants") or ()),
            needs_keys="tenants" in document,
            limits=_decode_limits(document.get("limits") or {}),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise DocumentError(f"the configuration can't be decoded: {error!r}") from error


def decode_target(key: str, value: bytes) -> TargetRecord:
    """Decode the registration of a target.

    Args:
        key: The target's instance id.
        value: The registration, as JSON.

    Raises:
        DocumentError: If a field is missing or has the wrong type, or the state is unknown.
    """
    try:
        document = json.loads(value)
        state = TARGET_STATES.get(document["state"])
        if state is None:
            raise DocumentError(
                f"unknown state {document['state']!r}; expected one of {', '.join(TARGET_STATES)}"
            )
        # The software version is unused, but required: a registration without it was not written by
        # a target.
        _get_string(document, "version")
        return TargetRecord(
            instance_id=key,
            service=_get_string(document, "service"),
            address=_get_address(document),
            # "zone" is the data centre.
            data_centre=_get_string(document, "zone"),
            slots=_get_slots(document),
            state=state,
            slow_start_s=_get_number(document, "cold_remaining_ms") / 1000,
            started_ms=_get_integer(document, "born", 0),
            sequence=_get_integer(document, "sequence"),
        )
    except DocumentError:
        raise
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise DocumentError(f"the registration can't be decoded: {error!r}") from error


def _decode_route(row: Mapping[str, Any]) -> Route:
    gap_ms = row.get("gap_target_ms")
    return Route(
        name=_get_string(row, "name"),
        host=_get_string(row, "hostname").lower(),
        path_prefix=_get_string(row, "path_prefix"),
        kind=ROUTE_KINDS[row["kind"]],
        splits=_decode_splits(row),
        timeout_s=_get_number(row, "timeout_ms") / 1000,
        target_latency_s=_get_number(row, "target_latency_ms") / 1000,
        max_gap_s=None if gap_ms is None else float(gap_ms) / 1000,
        priority=_get_integer(row, "priority", 0),
        max_attempts=max(1, _get_integer(row, "max_attempts", 1)),
        allow_anonymous=bool(row.get("allow_anonymous", False)),
        is_resumable=bool(row.get("stream_resume", False)),
    )


def _decode_splits(row: Mapping[str, Any]) -> tuple[Split, ...]:
    rows = row.get("traffic_split")
    if not rows:
        return (Split(service=_get_string(row, "service")),)
    return tuple(
        Split(service=_get_string(part, "service"), weight=part["weight"]) for part in rows
    )


def _decode_service(row: Mapping[str, Any]) -> Service:
    engine = row.get("engine")
    return Service(
        name=_get_string(row, "name"),
        health_path=row.get("health_path") or "/health",
        max_connections=_get_integer(row, "max_connections", 100),
        engine=None if not engine else _decode_engine(engine),
    )


def _decode_engine(row: Mapping[str, Any]) -> EngineModel:
    usual = row.get("usual") or {}
    return EngineModel(
        slots=_get_integer(row, "slots"),
        kv_capacity_tokens=_get_integer(row, "kv_capacity_tokens"),
        step_s=_get_number(row, "step_ms") / 1000,
        step_per_sequence_s=_get_number(row, "per_seq_ms", 0) / 1000,
        # In milliseconds per thousand tokens.
        step_per_context_token_s=_get_number(row, "context_per_k", 0) / 1e6,
        prefill_tokens_per_s=_get_number(row, "read_per_s"),
        # In milliseconds per million pairs of tokens.
        prefill_pair_s=_get_number(row, "pairs_per_m", 0) / 1e9,
        chunk_tokens=_get_integer(row, "chunk", 2048),
        steps_per_pass=max(1, _get_integer(row, "stride", 1)),
        report_lag_s=_get_number(row, "report_lag_ms", 0) / 1000,
        shared_step_s=_get_number(row, "hop_ms", 0) / 1000,
        mean_prompt_tokens=_get_number(usual, "prompt", 0),
        mean_output_tokens=_get_number(usual, "answer", 0),
    )


def _decode_workspaces(rows: Any) -> dict[bytes, Workspace]:
    workspaces = {}
    for row in rows:
        priority = row.get("priority")
        workspace = Workspace(name=_get_string(row, "name"), priority=priority)
        for key in row.get("api_keys") or ():
            workspaces[hash_key(key.encode())] = workspace
    return workspaces


def _decode_limits(row: Mapping[str, Any]) -> IngressLimits:
    usual = IngressLimits()
    return IngressLimits(
        max_header_bytes=_get_integer(row, "max_header_bytes", usual.max_header_bytes),
        max_body_bytes=_get_integer(row, "max_body_bytes", usual.max_body_bytes),
        header_timeout_s=_get_number(row, "header_timeout_ms", usual.header_timeout_s * 1000)
        / 1000,
        idle_timeout_s=_get_number(row, "idle_timeout_ms", usual.idle_timeout_s * 1000) / 1000,
    )


def _get_address(document: Mapping[str, Any]) -> str:
    address = _get_string(document, "address")
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise DocumentError(f"address {address!r} is not of the form host:port")
    return address


def _get_slots(document: Mapping[str, Any]) -> int:
    slots = _get_integer(document, "slots")
    if slots < 1:
        raise DocumentError(f"slots must be at least 1, found {slots}")
    return slots


def _get_string(row: Mapping[str, Any], name: str) -> str:
    value = row[name]
    if not isinstance(value, str) or not value:
        raise DocumentError(f"{name} must be a non-empty string, found {value!r}")
    return value


def _get_integer(row: Mapping[str, Any], name: str, default: int | None = None) -> int:
    value = row[name] if default is None else row.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise DocumentError(f"{name} must be an integer, found {value!r}")
    return value


def _get_number(row: Mapping[str, Any], name: str, default: float | None = None) -> float:
    value = row[name] if default is None else row.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise DocumentError(f"{name} must be a number, found {value!r}")
    return float(value)


class PlatformDocuments:
    """Implements `DocumentDecoder` for the platform's documents."""

    def decode_configuration(self, value: bytes) -> RouteTable:
        """Decode a configuration; raises `DocumentError`."""
        return decode_configuration(value)

    def decode_target(self, key: str, value: bytes) -> TargetRecord:
        """Decode the registration of a target; `key` is its instance id; raises `DocumentError`."""
        return decode_target(key, value)
