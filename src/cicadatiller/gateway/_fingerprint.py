"""Finds what a request has in common with others, though each attempt has its own id."""

from ..fleet import FingerprintKind, digest_fields, identify_request, label_workspace_part
from ..ingress import Request


def fingerprints(
    request: Request,
    *,
    host: str,
    workspace: str,
    model: str = "",
    prompt_tokens: int = 0,
    max_output_tokens: int = 0,
    prompt_parts: tuple[str, ...] = (),
) -> tuple[str, ...]:
    """Return the fingerprints of a request, the most common first.

    The last one tells the request from all others. Whole requests of different workspaces always
    differ, so that what is known of one workspace's requests never applies to those of another.

    Args:
        request: The request.
        host: The host in lower case, without a port.
        workspace: The name of the caller's workspace; empty for anonymous requests.
        model: The name of the model; empty if it states none.
        prompt_tokens: The length of its prompt; 0 if it has none.
        max_output_tokens: The maximum length of the output.
        prompt_parts: The ids of the parts of its prompt, of which the last is its own.
    """
    path, _, query = request.target.partition(b"?")
    head = (request.method, host.encode(), workspace.encode(), path)
    shared = prompt_parts[:-1]
    parts = (*shared, *(label_workspace_part(part, workspace) for part in shared))
    whole = FingerprintKind.REQUEST.label(digest_fields(*head, request.body_digest))
    if not (query or model or prompt_tokens or prompt_parts):
        return (*parts, whole)
    identity = identify_request(
        workspace=workspace,
        operation=(request.method, host, path, query, model, prompt_tokens, max_output_tokens),
        prompt=",".join(prompt_parts),
        body=request.body_digest,
    )
    return (*parts, whole, FingerprintKind.EXACT.label(identity))
