"""Checks whether a change or a drain would leave a model or service without a target.

The fold of the log can't check this, because its result must be the same in all processes and each
process knows different instances at a time. The entry checks it against those that it knows.
"""

from collections.abc import Iterable

from ..backing import InstanceKind
from ..config import Evacuation, Model, ParsedEdit, Service
from ..membership import Target


def unserved_problem(edits: Iterable[ParsedEdit], targets: tuple[Target, ...]) -> str:
    """Return the problem if a change leaves a model or service without a target; else empty."""
    for edit in edits:
        before, after = edit.before, edit.after
        if isinstance(after, Evacuation):
            problem = _evacuation_problem(edit.key[1], targets)
            if problem:
                return problem
        if not isinstance(before, Model | Service):
            continue
        kind, name = edit.key
        if after is None:
            busy = [target for target in _serving(before, name, targets) if _is_busy(target, name)]
            if busy:
                return f"{kind} {name!r} is in use on {len(busy)} targets; force the change"
        elif isinstance(after, Model | Service):
            had = _serving(before, name, targets)
            if had and not _serving(after, name, targets):
                return (
                    f"{kind} {name!r} would have no target in deployment {after.deployment!r}; "
                    "add instances there first, or force the change"
                )
    return ""


def _evacuation_problem(data_centre: str, targets: tuple[Target, ...]) -> str:
    """Return the problem if an evacuation leaves a model or service without a target."""
    live = [target for target in targets if _is_live(target)]
    inside = [target for target in live if target.instance.data_centre == data_centre]
    outside = [target for target in live if target.instance.data_centre != data_centre]
    if live and not inside:
        return f"no target is known in data centre {data_centre!r}; force the change"
    served = {work for target in outside for work in _served(target)}
    unserved = sorted({work for target in inside for work in _served(target)} - served)
    if not unserved:
        return ""
    deployment, name = unserved[0]
    return (
        f"{name!r} of deployment {deployment!r} would have no target outside of "
        f"{data_centre!r}; force the change"
    )


def _served(target: Target) -> list[tuple[str, str]]:
    """Return the deployment and name of each model or service that a target serves."""
    instance = target.instance
    if instance.kind is InstanceKind.SERVICE:
        return [(instance.deployment, instance.service)]
    loaded = () if target.load is None else target.load.loaded
    return [(instance.deployment, model) for model in loaded]


def last_target_problem(target: Target, targets: tuple[Target, ...]) -> str:
    """Return the problem if a target is the last one of a model or service; else empty."""
    others = [t for t in targets if t is not target and _is_live(t)]
    instance = target.instance
    if instance.kind is InstanceKind.SERVICE:
        has_other_target = any(
            other.instance.service == instance.service
            and other.instance.deployment == instance.deployment
            for other in others
        )
        if has_other_target:
            return ""
        return (
            f"{instance.name!r} is the last target of service {instance.service!r}; force the drain"
        )
    loaded = {
        model
        for other in others
        if other.load is not None and other.instance.deployment == instance.deployment
        for model in other.load.loaded
    }
    own = () if target.load is None else target.load.loaded
    unshared = next((model for model in own if model not in loaded), "")
    return (
        f"{instance.name!r} is the last target with {unshared!r}; force the drain"
        if unshared
        else ""
    )


def _serving(value: Model | Service, name: str, targets: tuple[Target, ...]) -> list[Target]:
    kind = InstanceKind.ENGINE if isinstance(value, Model) else InstanceKind.SERVICE
    return [
        target
        for target in targets
        if _is_live(target)
        and target.instance.kind is kind
        and target.instance.deployment == value.deployment
        and (isinstance(value, Model) or target.instance.service == name)
    ]


def _is_live(target: Target) -> bool:
    return not target.leaving


def _is_busy(target: Target, name: str) -> bool:
    load = target.load
    if load is None or not load.running + load.queued + target.in_flight:
        return False
    if target.instance.kind is InstanceKind.SERVICE:
        return True
    return any(model.partition("@")[0] == name for model in load.loaded)
