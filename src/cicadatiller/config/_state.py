"""The configuration at one offset."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from ._objects import ConfigValue, Deployment, Model, Operator, Service, Workspace, hash_key
from ._records import AuditEntry

ObjectKey = tuple[str, str]
T = TypeVar("T")


@dataclass(frozen=True, kw_only=True, slots=True)
class StateObject:
    """An object of the configuration.

    Attributes:
        value: The parsed object.
        body_json: The body as published, with fields that only newer versions know.
        revision: The offset of the change that last wrote the object.
    """

    value: ConfigValue
    body_json: str
    revision: int


@dataclass(frozen=True, kw_only=True)
class ConfigState:
    """The configuration at one offset.

    The last five attributes are derived from `objects` and `verdicts`.

    Attributes:
        offset: The offset of the newest folded record.
        objects: All objects by kind and name.
        verdicts: The audit trail by change id: the newest changes and their verdicts, oldest first.
        workspace_names: Workspace names by key hash.
        operators: Operators by name.
        evacuated: The names of the evacuated data centres.
        members: The number of objects that reference each deployment.
        audit_bytes: The approximate size of the audit trail in memory.
    """

    offset: int = 0
    objects: Mapping[ObjectKey, StateObject] = field(default_factory=dict)
    verdicts: dict[str, AuditEntry] = field(default_factory=dict)
    workspace_names: Mapping[str, str] = field(default_factory=dict)
    operators: Mapping[str, Operator] = field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()
    members: Mapping[str, int] = field(default_factory=dict)
    audit_bytes: int = 0

    @property
    def audit(self) -> tuple[AuditEntry, ...]:
        """Return the audit trail: the newest changes and their verdicts, oldest first."""
        return tuple(self.verdicts.values())

    @property
    def newest_change_offset(self) -> int:
        """Return the offset of the newest change in the audit trail; zero if there is none."""
        newest = next(reversed(self.verdicts.values()), None)
        return 0 if newest is None else newest.offset

    def deployment(self, name: str) -> Deployment | None:
        """Return a deployment; None if it does not exist."""
        return self._get("deployment", name, Deployment)

    def model(self, name: str) -> Model | None:
        """Return a model; None if it does not exist."""
        return self._get("model", name, Model)

    def service(self, name: str) -> Service | None:
        """Return a plain service; None if it does not exist."""
        return self._get("service", name, Service)

    def workspace(self, name: str) -> Workspace | None:
        """Return a workspace; None if it does not exist."""
        return self._get("workspace", name, Workspace)

    def workspace_of_key(self, key: str) -> str | None:
        """Return the name of the workspace that a key belongs to; None if there is none."""
        return self.workspace_names.get(hash_key(key))

    def operator_of_key(self, key: str) -> str | None:
        """Return the name of the operator that a key belongs to; None if there is none."""
        found = None
        for name, operator in self.operators.items():
            if operator.matches(key):
                found = name
        return found

    def has_operators(self) -> bool:
        """Return whether any operator is configured."""
        return bool(self.operators)

    def change(self, change_id: str) -> AuditEntry | None:
        """Return the audit entry of a change; None if it is not in the audit trail."""
        return self.verdicts.get(change_id)

    def _get(self, kind: str, name: str, value_type: type[T]) -> T | None:
        item = self.objects.get((kind, name))
        return item.value if item is not None and isinstance(item.value, value_type) else None


def deployments_of(key: ObjectKey, value: ConfigValue) -> tuple[str, ...]:
    """Return the deployments that an object references, which must exist."""
    if isinstance(value, Operator):
        return value.deployments
    deployment = getattr(value, "deployment", None)
    return () if deployment is None else (deployment,)
