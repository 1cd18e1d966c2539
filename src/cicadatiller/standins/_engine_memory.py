"""The KV memory of the engine stand-in: running streams, and exports under a lease."""

import asyncio
from dataclasses import dataclass

from ..targets import ExportStatus


@dataclass
class _Export:
    kv_tokens: int
    expires_s: float


class EngineMemory:
    """Accounts for KV memory in running totals, without iterating over the streams.

    Args:
        capacity_tokens: The KV capacity.
    """

    def __init__(self, *, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self._stream_tokens = 0
        self._export_tokens = 0
        self._exports: dict[str, _Export] = {}

    def used_tokens(self) -> int:
        """Return the KV memory in use, in tokens."""
        self._expire()
        return self._stream_tokens + self._export_tokens

    def fits(self, kv_tokens: int) -> bool:
        """Return whether that many tokens are free."""
        return self.used_tokens() + kv_tokens <= self.capacity_tokens

    def allocate(self, kv_tokens: int) -> None:
        """Allocate memory to a stream; check `fits` before."""
        self._stream_tokens += kv_tokens

    def free(self, kv_tokens: int) -> None:
        """Free the memory of a stream."""
        self._stream_tokens -= kv_tokens

    def clear(self) -> None:
        """Drop all allocations and exports."""
        self._stream_tokens = 0
        self._export_tokens = 0
        self._exports.clear()

    def export(self, export_id: str, kv_tokens: int, lease_s: float) -> None:
        """Store an export under a lease; replaces one of the same id."""
        self.release(export_id)
        expires_s = asyncio.get_running_loop().time() + lease_s
        self._exports[export_id] = _Export(kv_tokens=kv_tokens, expires_s=expires_s)
        self._export_tokens += kv_tokens

    def renew(self, export_id: str, lease_s: float) -> bool:
        """Extend a lease; return whether the export exists."""
        self._expire()
        export = self._exports.get(export_id)
        if export is None:
            return False
        export.expires_s = asyncio.get_running_loop().time() + lease_s
        return True

    def release(self, export_id: str) -> bool:
        """Free an export; return whether it existed."""
        export = self._exports.pop(export_id, None)
        if export is None:
            return False
        self._export_tokens -= export.kv_tokens
        return True

    def holds(self, export_id: str) -> bool:
        """Return whether an export is stored and its lease has not expired."""
        self._expire()
        return export_id in self._exports

    def exports(self) -> tuple[ExportStatus, ...]:
        """Return all exports."""
        self._expire()
        now_s = asyncio.get_running_loop().time()
        return tuple(
            ExportStatus(
                export_id=export_id,
                kv_tokens=export.kv_tokens,
                lease_left_s=export.expires_s - now_s,
            )
            for export_id, export in self._exports.items()
        )

    def _expire(self) -> None:
        if not self._exports:
            return
        now_s = asyncio.get_running_loop().time()
        for export_id in [key for key, item in self._exports.items() if item.expires_s <= now_s]:
            self.release(export_id)
