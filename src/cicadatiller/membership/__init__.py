"""The instances that a process knows, with their load and health as it observes them."""

from ..fleet import Breaker, eject_slow, usable_targets
from ._prompt_rank import long_prompt_rank
from ._subset import PoolKey, choose_subset, pool_key, rendezvous_order
from ._target import SentWork, Target
from ._view import InstanceView

__all__ = [
    "Breaker",
    "InstanceView",
    "PoolKey",
    "SentWork",
    "Target",
    "choose_subset",
    "eject_slow",
    "long_prompt_rank",
    "pool_key",
    "rendezvous_order",
    "usable_targets",
]
