"""An asynchronous HTTP client for the calls of the product's own interface.

A package of its own, so that processes which do not use it do not load urllib3.
"""

from ._client import HttpClient, HttpReply, HttpUnreachableError

__all__ = ["HttpClient", "HttpReply", "HttpUnreachableError"]
