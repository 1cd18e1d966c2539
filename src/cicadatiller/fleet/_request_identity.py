"""What tells two requests apart, on the platform's interface and on the project's own.

A request stays the same however often it comes: its caller's retries, which have ids and deadlines
of their own, and the entries' copies of it. It is another one if anything differs that decides what
a target does with it. So two turns of a session are two requests, and so are equal bodies in two
sessions, whose prompts differ, and equal prompts of two workspaces.
"""

import hashlib

from ._fingerprint import DIGEST_CHARACTERS


def identify_request(
    *, workspace: str, operation: tuple[bytes | str | int, ...], prompt: str, body: bytes
) -> str:
    """Return what all copies of a request have in common, and no other request has.

    Args:
        workspace: The name of the caller's workspace; empty for anonymous requests.
        operation: What is asked for, as method and path, or a model and the limit of its output.
        prompt: The prompt, or what identifies it; empty if there is none.
        body: The rest of the request, or a digest of it.
    """
    # The fields may hold any characters, but not those that delimit them here.
    digest = hashlib.sha256(repr((workspace, *operation, len(prompt))).encode())
    digest.update(prompt.encode())
    digest.update(body)
    return digest.hexdigest()[:DIGEST_CHARACTERS]
