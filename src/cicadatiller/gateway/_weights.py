"""Value of requests and their loss when late, in units of one short request."""

from dataclasses import dataclass

from ..kernel import check_values, not_negative


@dataclass(frozen=True, kw_only=True, slots=True)
class WorthWeights:
    """Weights that set the value of requests to the deployment's users.

    Attributes:
        request: Base value of a request.
        prompt_token: Additional value of each prompt token.
        late_share: Share of the value that is lost if the response is late.
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
        """Return the value of a request."""
        return self.request + self.prompt_token * prompt_tokens

    def late_loss(self, prompt_tokens: int) -> float:
        """Return the loss if the response to a request is late."""
        return self.late_share * self.worth(prompt_tokens)

    def late_worth(self, prompt_tokens: int) -> float:
        """Return the value that a response still has if it is late."""
        return self.worth(prompt_tokens) - self.late_loss(prompt_tokens)
