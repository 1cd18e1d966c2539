"""How long an engine takes, worked out from its model."""

from ..routes import EngineModel


def read_s(model: EngineModel, tokens: int) -> float:
    """Return the time to read a prompt on an engine that does nothing else."""
    pairs = tokens * tokens / 2
    return tokens / model.prefill_tokens_per_s + pairs * model.prefill_pair_s


def step_s(model: EngineModel, writers: int, context_tokens: int) -> float:
    """Return the time of a step in which nothing is read.

    Args:
        model: The engine.
        writers: The requests that are being written.
        context_tokens: The sum of their contexts.
    """
    per_writer_s = writers * model.step_per_sequence_s
    return model.step_s + per_writer_s + context_tokens * model.step_per_context_token_s


def pass_s(model: EngineModel, writers: int, context_tokens: int) -> float:
    """Return the time of a pass in which nothing is read; see `step_s`."""
    return model.steps_per_pass * step_s(model, writers, context_tokens)


def write_s(model: EngineModel, tokens: int, writers: int, context_tokens: int) -> float:
    """Return the time to write an output of some tokens; see `step_s`."""
    return tokens * step_s(model, writers, context_tokens)


def most_read_in_pass_s(model: EngineModel) -> float:
    """Return the longest time that one pass spends on reading prompts."""
    return read_s(model, model.steps_per_pass * model.chunk_tokens)
