"""Execution times of an engine, computed from its model."""

from ..routes import EngineModel


def read_s(model: EngineModel, tokens: int) -> float:
    """Return the prefill time of a prompt on an otherwise idle engine."""
    pairs = tokens * tokens / 2
    return tokens / model.prefill_tokens_per_s + pairs * model.prefill_pair_s


def step_s(model: EngineModel, sequences: int, context_tokens: int) -> float:
    """Return the time of a decode step without prefill.

    Args:
        model: The engine model.
        sequences: The number of sequences that are decoding.
        context_tokens: The total context tokens of these sequences.
    """
    sequences_s = sequences * model.step_per_sequence_s
    return model.step_s + sequences_s + context_tokens * model.step_per_context_token_s


def pass_s(model: EngineModel, sequences: int, context_tokens: int) -> float:
    """Return the time of a pass without prefill; see `step_s` for the arguments."""
    return model.steps_per_pass * step_s(model, sequences, context_tokens)


def write_s(model: EngineModel, tokens: int, sequences: int, context_tokens: int) -> float:
    """Return the time to decode `tokens` output tokens; see `step_s` for the other arguments."""
    return tokens * step_s(model, sequences, context_tokens)


def max_prefill_in_pass_s(model: EngineModel) -> float:
    """Return the longest time that one pass spends on prefill."""
    return read_s(model, model.steps_per_pass * model.chunk_tokens)
