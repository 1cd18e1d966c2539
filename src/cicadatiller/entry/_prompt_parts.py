"""Finds the parts of prompts that several requests may share, and names them.

A prompt is plain text, so its parts are its lines, wherever they stand, and its beginnings of some
lengths, as prompts without line breaks may begin alike. Parts of prompts for different models or
adapters differ, as what ends one engine may be sound for another.
"""

from collections import OrderedDict
from collections.abc import Iterable

from ..fleet import digest_fields, label_workspace_part
from ._requests import WorkRequest

BEGINNINGS_CHARACTERS = (64, 256, 1024, 4096, 16_384, 65_536)
# Of a prompt with more lines, the longest ones count.
MAX_LINES = 8
MAX_LINES_READ = 512
MAX_KNOWN_PARTS = 16_384
# Without recent losses, a part that finishes repeatedly is named once in this time.
NAMED_AGAIN_S = 1.0

_NEVER_S = float("-inf")


def prompt_parts(prompt: str) -> tuple[str, ...]:
    """Return the parts of a prompt, those that most requests may share first."""
    beginnings = [prompt[:length] for length in BEGINNINGS_CHARACTERS if length < len(prompt)]
    lines = dict.fromkeys(prompt.split("\n", MAX_LINES_READ)[:MAX_LINES_READ])
    lines.pop("", None)
    if len(lines) <= MAX_LINES:
        return (*beginnings, *lines)
    # Sorted by text first, so that prompts agree on which of equally long lines count.
    by_length = sorted(sorted(lines), key=len, reverse=True)
    return (*beginnings, *by_length[:MAX_LINES])


class PartNames:
    """Names the parts of prompts, and remembers which of them requests share.

    A name is a digest, which is costly, so parts that no other request has get none.
    """

    def __init__(self) -> None:
        # When each part was named last, by a hash that differs from one process to the next.
        self._named_s: OrderedDict[int, float] = OrderedDict()

    def all_names(self, request: WorkRequest) -> tuple[str, ...]:
        """Return the fingerprints of all parts of a request's prompt, the most common first."""
        return _names(request, prompt_parts(request.prompt))

    def shared_names(self, request: WorkRequest, now_s: float) -> tuple[str, ...]:
        """Return the fingerprints of one part that earlier requests had, if any.

        It is the one that was named longest ago, so that each part of prompts that come often is
        named in turn.

        Args:
            request: The request.
            now_s: The loop time.
        """
        named_s = self._named_s
        scope = hash((request.workspace, request.model, request.adapter))
        oldest_s, oldest, oldest_key = now_s - NAMED_AGAIN_S, "", 0
        for part in prompt_parts(request.prompt):
            key = scope ^ hash(part)
            last_s = named_s.get(key)
            if last_s is None:
                named_s[key] = _NEVER_S
            elif last_s <= oldest_s and (last_s < oldest_s or not oldest):
                oldest_s, oldest, oldest_key = last_s, part, key
        while len(named_s) > MAX_KNOWN_PARTS:
            named_s.popitem(last=False)
        if not oldest:
            return ()
        named_s[oldest_key] = now_s
        named_s.move_to_end(oldest_key)
        return _names(request, (oldest,))


def _names(request: WorkRequest, parts: Iterable[str]) -> tuple[str, ...]:
    """Return the names of parts in requests of any workspace, then in those of the request's."""
    model, adapter = request.model.encode(), request.adapter.encode()
    # The names of models and adapters have no line breaks.
    names = [digest_fields(model, adapter, part.encode()) for part in parts]
    return (*names, *(label_workspace_part(name, request.workspace) for name in names))
