"""Tests of what identifies a request across attempts and entries."""

import unittest

from cicadatiller.fleet import FingerprintKind, kind_of
from cicadatiller.gateway._fingerprint import fingerprints
from cicadatiller.ingress import IngressLimits, RequestParser

LIMITS = IngressLimits()
POST = b"POST /orders/7?fast HTTP/1.1\r\nHost: n\r\n"


def parse(*data):
    parser = RequestParser(limits=lambda: LIMITS)
    requests = [request for piece in data for request in parser.feed(piece, 0.0)]
    assert parser.error is None, parser.error
    return requests


def with_length(body, head=POST):
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


class FingerprintTest(unittest.TestCase):
    def of(self, *data, host="n", workspace="reef"):
        (request,) = parse(*data)
        return fingerprints(request, host=host, workspace=workspace)[-1]

    def test_copies_have_one_fingerprint_however_they_are_sent(self):
        body = bytes(range(256)) * 40
        whole = with_length(body)
        chunked = POST + b"Transfer-Encoding: chunked\r\n\r\n"
        for at in range(0, len(body), 1000):
            piece = body[at : at + 1000]
            chunked += b"%x\r\n" % len(piece) + piece + b"\r\n"
        pieces = [whole[at : at + 700] for at in range(0, len(whole), 700)]
        other_attempt = whole.replace(b"Host: n\r\n", b"Host: n\r\nAttempt-Id: a2\r\n")
        copies = {
            self.of(whole),
            self.of(chunked + b"0\r\n\r\n"),
            self.of(*pieces),
            self.of(other_attempt),
        }
        self.assertEqual(len(copies), 1)

    def test_path_query_method_host_body_and_workspace_make_a_difference(self):
        requests = {
            self.of(with_length(b"abc")),
            self.of(with_length(b"abd")),
            self.of(with_length(b"")),
            self.of(with_length(b"abc", POST.replace(b"?fast", b"?slow"))),
            self.of(with_length(b"abc", POST.replace(b"orders", b"order"))),
            self.of(with_length(b"abc", POST.replace(b"POST", b"PUT"))),
            self.of(with_length(b"abc"), host="m"),
            self.of(with_length(b"abc"), workspace="lagoon"),
            self.of(with_length(b"abc"), workspace=""),
        }
        self.assertEqual(len(requests), 9)

    def test_body_of_one_request_does_not_count_for_the_next_on_its_connection(self):
        first, second = parse(with_length(b"abc") + with_length(b""))
        (alone,) = parse(with_length(b""))
        self.assertEqual(second.body_digest, alone.body_digest)
        self.assertNotEqual(first.body_digest, second.body_digest)

    def test_requests_that_differ_in_their_query_share_the_wider_fingerprint(self):
        copies = [
            parse(with_length(b"abc", POST.replace(b"?fast", query)))[0]
            for query in (b"", b"?", b"?fast", b"?slow")
        ]
        found = [fingerprints(copy, host="n", workspace="reef") for copy in copies]
        self.assertEqual([len(names) for names in found], [1, 1, 2, 2])
        self.assertEqual(len({names[0] for names in found}), 1)
        self.assertEqual(len({names[-1] for names in found}), 3)

    def test_turns_of_a_session_and_equal_bodies_of_two_sessions_differ(self):
        (request,) = parse(with_length(b"abc", POST.replace(b"?fast", b"")))
        prompts = [
            {"prompt_parts": ("5a", "f1"), "prompt_tokens": 100},
            {"prompt_parts": ("5a", "f1"), "prompt_tokens": 101},
            {"prompt_parts": ("5a", "f2"), "prompt_tokens": 100},
            {"prompt_parts": ("5a", "f1"), "prompt_tokens": 100, "model": "m"},
        ]
        found = [fingerprints(request, host="n", workspace="reef", **prompt) for prompt in prompts]
        self.assertEqual(len({names[-1] for names in found}), 4)
        self.assertEqual(len({names[-2] for names in found}), 1)

    def test_last_part_of_a_prompt_is_no_fingerprint(self):
        (request,) = parse(with_length(b"abc"))
        names = fingerprints(request, host="n", workspace="", prompt_parts=("5a", "5b", "f1"))
        self.assertEqual(names[:2], ("5a", "5b"))
        self.assertEqual(
            [kind_of(name) for name in names],
            [
                *2 * [FingerprintKind.PART],
                *2 * [FingerprintKind.WORKSPACE_PART],
                FingerprintKind.REQUEST,
                FingerprintKind.EXACT,
            ],
        )
