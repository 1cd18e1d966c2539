"""Decodes the documents that the operator and the targets write to the store.

This module maps the platform's field names to those of the project. A comment explains each field
whose name does not describe its content.
"""

from collections.abc import Mapping
from typing import Any

from ..fleet import TargetRecord, TargetState
from ..ingress import IngressLimits
from ..kernel import (
    DocumentError,
    get_address,
    get_integer,
    get_number,
    get_string,
    load_object,
)
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

EVACUATION_PREFIX = "evacuate/"


def decode_configuration(value: bytes) -> RouteTable:
    """Decode the operator's configuration.

    Raises:
        DocumentError: If it can't be decoded.
    """
    try:
        document = load_object(value)
        return RouteTable(
            version=get_integer(document, "version"),
            routes=[_decode_route(row) for row in document["routes"]],
            services=[_decode_service(row) for row in document["services"]],
            workspaces=_decode_workspaces(document.get("tenants") or ()),
            needs_keys="tenants" in document,
            limits=_decode_limits(document.get("limits") or {}),
        )
    except (ValueError, ArithmeticError, LookupError, TypeError, AttributeError) as error:
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
        document = load_object(value)
        state = TARGET_STATES.get(document["state"])
        if state is None:
            raise DocumentError(
                f"unknown state {document['state']!r}; expected one of {', '.join(TARGET_STATES)}"
            )
        # The software version is unused, but required: a registration without it was not written by
        # a target.
        get_string(document, "version")
        return TargetRecord(
            instance_id=key,
            service=get_string(document, "service"),
            address=get_address(document, "address"),
            # "zone" is the data centre.
            data_centre=get_string(document, "zone"),
            slots=_get_slots(document),
            state=state,
            slow_start_s=get_number(document, "cold_remaining_ms") / 1000,
            started_ms=get_integer(document, "born", 0),
            sequence=get_integer(document, "sequence"),
        )
    except DocumentError:
        raise
    except (LookupError, TypeError) as error:
        raise DocumentError(f"the registration can't be decoded: {error!r}") from error


def _decode_route(row: Mapping[str, Any]) -> Route:
    gap_ms = row.get("gap_target_ms")
    return Route(
        name=get_string(row, "name"),
        host=get_string(row, "hostname").lower(),
        path_prefix=get_string(row, "path_prefix"),
        kind=ROUTE_KINDS[row["kind"]],
        splits=_decode_splits(row),
        timeout_s=get_number(row, "timeout_ms") / 1000,
        target_latency_s=get_number(row, "target_latency_ms") / 1000,
        max_gap_s=None if gap_ms is None else float(gap_ms) / 1000,
        priority=get_integer(row, "priority", 0),
        max_attempts=max(1, get_integer(row, "max_attempts", 1)),
        allow_anonymous=bool(row.get("allow_anonymous", False)),
        is_resumable=bool(row.get("stream_resume", False)),
    )


def _decode_splits(row: Mapping[str, Any]) -> tuple[Split, ...]:
    rows = row.get("traffic_split")
    if not rows:
        return (Split(service=get_string(row, "service")),)
    return tuple(Split(service=get_string(part, "service"), weight=part["weight"]) for part in rows)


def _decode_service(row: Mapping[str, Any]) -> Service:
    engine = row.get("engine")
    return Service(
        name=get_string(row, "name"),
        health_path=row.get("health_path") or "/health",
        max_connections=get_integer(row, "max_connections", 100),
        engine=None if not engine else _decode_engine(engine),
        cold_start_s=get_number(row, "cold_start_s", 0),
        cold_rate_per_s=get_number(row, "cold_per_s", 0),
    )


def _decode_engine(row: Mapping[str, Any]) -> EngineModel:
    usual = row.get("usual") or {}
    return EngineModel(
        slots=get_integer(row, "slots"),
        kv_capacity_tokens=get_integer(row, "kv_capacity_tokens"),
        step_s=get_number(row, "step_ms") / 1000,
        step_per_sequence_s=get_number(row, "per_seq_ms", 0) / 1000,
        # In milliseconds per thousand tokens.
        step_per_context_token_s=get_number(row, "context_per_k", 0) / 1e6,
        prefill_tokens_per_s=get_number(row, "read_per_s"),
        # In milliseconds per million pairs of tokens.
        prefill_pair_s=get_number(row, "pairs_per_m", 0) / 1e9,
        chunk_tokens=get_integer(row, "chunk", 2048),
        steps_per_pass=max(1, get_integer(row, "stride", 1)),
        report_lag_s=get_number(row, "report_lag_ms", 0) / 1000,
        shared_step_s=get_number(row, "hop_ms", 0) / 1000,
        mean_prompt_tokens=get_number(usual, "prompt", 0),
        mean_output_tokens=get_number(usual, "answer", 0),
    )


def _decode_workspaces(rows: Any) -> dict[bytes, Workspace]:
    workspaces = {}
    for row in rows:
        priority = row.get("priority")
        workspace = Workspace(name=get_string(row, "name"), priority=priority)
        for key in row.get("api_keys") or ():
            workspaces[hash_key(key.encode())] = workspace
    return workspaces


def _decode_limits(row: Mapping[str, Any]) -> IngressLimits:
    usual = IngressLimits()
    return IngressLimits(
        max_header_bytes=get_integer(row, "max_header_bytes", usual.max_header_bytes),
        max_body_bytes=get_integer(row, "max_body_bytes", usual.max_body_bytes),
        header_timeout_s=get_number(row, "header_timeout_ms", usual.header_timeout_s * 1000) / 1000,
        idle_timeout_s=get_number(row, "idle_timeout_ms", usual.idle_timeout_s * 1000) / 1000,
    )


def _get_slots(document: Mapping[str, Any]) -> int:
    slots = get_integer(document, "slots")
    if slots < 1:
        raise DocumentError(f"slots must be at least 1, found {slots}")
    return slots


class PlatformDocuments:
    """Implements `DocumentDecoder` for the platform's documents."""

    def decode_configuration(self, value: bytes) -> RouteTable:
        """Decode a configuration; raises `DocumentError`."""
        return decode_configuration(value)

    def find_evacuated(self, key: str) -> str | None:
        """Return the data centre that a key of the operator evacuates; None for other keys."""
        prefix, _, data_centre = key.partition(EVACUATION_PREFIX)
        return None if prefix else data_centre or None

    def decode_target(self, key: str, value: bytes) -> TargetRecord:
        """Decode the registration of a target; `key` is its instance id; raises `DocumentError`."""
        return decode_target(key, value)
