"""The registry of plug-ins."""

from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps names to the factories of one kind of plug-in.

    Args:
        kind: The kind of plug-in, for error messages, such as "queue policy".
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._factories: dict[str, Callable[..., T]] = {}

    def register(self, name: str) -> Callable[[Callable[..., T]], Callable[..., T]]:
        """Return a decorator that registers a factory or class under a name.

        Raises:
            ValueError: If the name is already registered.
        """
        if name in self._factories:
            raise ValueError(f"{self._kind} {name!r} is already registered; choose another name")

        def add(factory: Callable[..., T]) -> Callable[..., T]:
            self._factories[name] = factory
            return factory

        return add

    def create(self, name: str, **arguments: object) -> T:
        """Create the plug-in that is registered under a name.

        Raises:
            ValueError: If the name is not registered; the message lists the registered names.
        """
        factory = self._factories.get(name)
        if factory is None:
            known = ", ".join(self.names())
            raise ValueError(f"unknown {self._kind} {name!r}; use one of: {known}")
        return factory(**arguments)

    def names(self) -> tuple[str, ...]:
        """Return the registered names in alphabetical order."""
        return tuple(sorted(self._factories))
