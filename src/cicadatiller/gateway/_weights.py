"""What a deployment's users lose when a request comes late, in units of one short request."""

from dataclasses import dataclass

from ..kernel import check_values, not_negative


@dataclass(frozen=True, kw_only=True, slots=True)
class WorthWeights:
    """How requests are weighed against each other.

    Attributes:
        request: What any request is worth.
        prompt_token: What each token of its prompt adds.
        late_share: The share of it that is lost if it comes late.
    """

    request: float = 1.0
    prompt_token: float = 1e-4
    late_share: float = 0.75

    def __post_init__(self) -> None:
        check_values(
            request=not_negative(self.request),
            prompt_token=not_negative(self.prompt_token),
            late_share="" if 0 < self.late_share <= 1 else "must be above 0 and at most 1",
        )

    def worth(self, prompt_tokens: int) -> float:
        """Return what a request is worth."""
        return self.request + self.prompt_token * prompt_tokens

    def late_loss(self, prompt_tokens: int) -> float:
        """Return what is lost if a request comes late."""
        return self.late_share * self.worth(prompt_tokens)
