"""Measures the share of each entry in each workspace's recent use."""

from collections import OrderedDict

from ..peer import WorkspaceUse

HALF_LIFE_S = 10.0
MAX_WORKSPACES = 2048
REQUEST_TOKENS = 500
NEGLIGIBLE_TOKENS = 1.0
ENTRY_TIMEOUT_S = 60.0


class UseMeter:
    """Keeps exponentially decaying counts of prompt tokens per workspace and entry.

    A request counts as its prompt tokens plus `REQUEST_TOKENS`, so that limits on requests and
    limits on tokens can use the same share.
    """

    def __init__(self) -> None:
        self._uses: OrderedDict[str, _WorkspaceTokens] = OrderedDict()
        self._seen_s: dict[str, float] = {}

    def record_connection(self, entry: str, now_s: float) -> None:
        """Record that an entry is connected."""
        self._seen_s[entry] = now_s

    def record(self, workspace: str, entry: str, prompt_tokens: int, now_s: float) -> WorkspaceUse:
        """Record a request and return the entry's share of the workspace's recent use."""
        use = self._uses.setdefault(workspace, _WorkspaceTokens(now_s))
        self._uses.move_to_end(workspace)
        if len(self._uses) > MAX_WORKSPACES:
            self._uses.popitem(last=False)
        use.decay(now_s)
        use.tokens[entry] = use.tokens.get(entry, 0.0) + prompt_tokens + REQUEST_TOKENS
        self.record_connection(entry, now_s)
        return WorkspaceUse(
            workspace=workspace,
            share=use.tokens[entry] / sum(use.tokens.values()),
            entries=self._count_connected_entries(now_s),
        )

    def _count_connected_entries(self, now_s: float) -> int:
        for entry, seen_s in list(self._seen_s.items()):
            if now_s - seen_s > ENTRY_TIMEOUT_S:
                del self._seen_s[entry]
        return len(self._seen_s)


class _WorkspaceTokens:
    def __init__(self, now_s: float) -> None:
        self.tokens: dict[str, float] = {}
        self._decayed_at_s = now_s

    def decay(self, now_s: float) -> None:
        factor = 0.5 ** ((now_s - self._decayed_at_s) / HALF_LIFE_S)
        self._decayed_at_s = now_s
        for entry, tokens in list(self.tokens.items()):
            if tokens * factor < NEGLIGIBLE_TOKENS:
                del self.tokens[entry]
            else:
                self.tokens[entry] = tokens * factor
