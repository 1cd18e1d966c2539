"""The records of other writers that can't be decoded."""

from ._events import Event, log_event


class UnreadableRecords:
    """Keeps the keys whose newest record can't be decoded, and logs each of them once."""

    def __init__(self) -> None:
        self._keys: set[str] = set()

    @property
    def count(self) -> int:
        """Return the number of keys."""
        return len(self._keys)

    def add(self, key: str, error: Exception) -> None:
        """Add a key whose record can't be decoded."""
        if key not in self._keys:
            self._keys.add(key)
            log_event(Event.ENTRY_UNREADABLE, name=key, error=repr(error))

    def discard(self, key: str) -> None:
        """Remove a key whose record can be decoded, or was removed."""
        self._keys.discard(key)
