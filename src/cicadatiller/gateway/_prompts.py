"""Builds the prompt that is placed for a request, and the work of each target once it is placed."""

from dataclasses import replace

from ..placement import Placement, Prompt, Work, write_s
from ..routes import EngineModel, Service
from ._job import Job
from ._waiter import Waiter
from ._weights import WorthWeights

OUTPUT_MARGIN = 1.3
ASSUMED_OUTPUT_SHARE = 0.5


def describe_prompt(job: Job, service: Service | None, weights: WorthWeights) -> Prompt | None:
    """Return a request's prompt as of its arrival; None for a call of a plain service."""
    fields = job.fields
    if service is None or service.engine is None or fields.prompt_tokens <= 0:
        return None
    estimate = fields.output_estimate_tokens or service.engine.mean_output_tokens
    estimate = estimate or ASSUMED_OUTPUT_SHARE * fields.max_output_tokens
    output = min(OUTPUT_MARGIN * estimate, fields.max_output_tokens or estimate)
    return Prompt(
        tokens=fields.prompt_tokens,
        output_tokens=int(output),
        due_in_s=job.route.target_latency_s,
        max_gap_s=job.route.max_gap_s or job.route.target_latency_s,
        worth=weights.late_loss(fields.prompt_tokens),
        late_worth=weights.late_worth(fields.prompt_tokens),
    )


def with_remaining_time(waiter: Waiter, now_s: float) -> Prompt:
    """Return the prompt of a waiting request with its remaining times as of `now_s`."""
    assert waiter.prompt is not None
    return replace(
        waiter.prompt,
        due_in_s=waiter.due_in_s(now_s),
        latest_first_event_in_s=waiter.latest_first_event_at_s - now_s,
    )


def split_work(
    prompt: Prompt,
    placement: Placement,
    model: EngineModel,
    *,
    work_id: str,
    owner: str,
    now_s: float,
) -> tuple[Work, ...]:
    """Return the work of each target of a placed prompt, that of the host first."""
    size = 1 + len(placement.helper_ids)
    helper_kv_tokens = {
        share.target_id: share.tokens
        for share in placement.shares
        if share.target_id != placement.host_id
    }
    host = Work(
        work_id=work_id,
        owner=owner,
        target_id=placement.host_id,
        read_s=placement.part_prefill_s,
        read_tokens=prompt.tokens // size,
        kv_tokens=placement.host_kv_tokens,
        context_tokens=prompt.tokens - sum(helper_kv_tokens.values()),
        max_gap_s=prompt.max_gap_s,
        due_in_s=prompt.due_in_s,
        worth=prompt.worth,
        write_s=write_s(model, prompt.output_tokens, 1, prompt.tokens),
        placed_s=now_s,
    )
    helpers = [
        Work(
            work_id=work_id,
            owner=owner,
            target_id=helper_id,
            read_s=placement.part_prefill_s,
            read_tokens=prompt.tokens // size,
            kv_tokens=helper_kv_tokens.get(helper_id, 0),
            context_tokens=helper_kv_tokens.get(helper_id, 0),
            writes=False,
            placed_s=now_s,
        )
        for helper_id in placement.helper_ids
    ]
    return (host, *helpers)


def explain_refusal(placement: Placement, prompt: Prompt) -> str:
    """Return why a prompt is refused although a target had a free slot, for log and caller."""
    return (
        f"its first event is expected in {placement.first_event_in_s:.1f} s, its caller can await it "
        f"for {prompt.latest_first_event_in_s:.1f} s, and the expected loss to others is "
        f"{placement.loss_to_others:.1f}"
    )
