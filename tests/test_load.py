"""The plan, prompts, settings and report of the load generator."""

import unittest

from returns.result import Success

from cicadatiller.kernel import prompt_bucket
from cicadatiller.load import LengthBand, Mix, RunResult, WorkspaceShare, make_prompt, plan_requests
from cicadatiller.load._measure import LatencyRecorder
from cicadatiller.load._report import to_json, to_text
from cicadatiller.settings import parse_settings


def make_mix(**changes) -> Mix:
    fields = {
        "entries": ("http://127.0.0.1:1", "http://127.0.0.1:2"),
        "model": "glacier",
        "workspaces": (
            WorkspaceShare(name="large", key="a", weight=9.0),
            WorkspaceShare(name="small", key="b"),
        ),
        "lengths": (
            LengthBand(weight=49, min_tokens=1_000, max_tokens=100_000),
            LengthBand(weight=1, min_tokens=100_001, max_tokens=1_000_000),
        ),
        "requests_per_s": 100.0,
        "duration_s": 50.0,
        "service": "dispatch",
        "call_share": 0.1,
        "warm_up_s": 10.0,
    }
    return Mix(**(fields | changes))


class PlanTest(unittest.TestCase):
    def test_same_seed_gives_same_plan(self):
        self.assertEqual(list(plan_requests(make_mix())), list(plan_requests(make_mix())))
        self.assertNotEqual(list(plan_requests(make_mix())), list(plan_requests(make_mix(seed=2))))

    def test_plan_follows_the_mix(self):
        plan = list(plan_requests(make_mix()))
        self.assertAlmostEqual(len(plan) / 5000, 1.0, delta=0.1)
        long = sum(1 for request in plan if request.prompt_tokens > 100_000)
        self.assertAlmostEqual(long / len(plan), 0.9 / 50, delta=0.01)
        large = sum(1 for request in plan if request.workspace.name == "large")
        self.assertAlmostEqual(large / len(plan), 0.9, delta=0.03)
        self.assertTrue(all(a.at_s <= b.at_s for a, b in zip(plan, plan[1:], strict=False)))
        self.assertTrue(all(r.measured == (r.at_s >= 10.0) for r in plan))

    def test_leaving_out_long_prompts_keeps_the_others_as_they_are(self):
        whole = list(plan_requests(make_mix()))
        short = list(plan_requests(make_mix(longest_prompt_tokens=4_000)))
        self.assertEqual(short, [r for r in whole if r.prompt_tokens <= 4_000])

    def test_prompts_are_unique_and_as_long_as_planned(self):
        mix = make_mix(shared_prefix_share=1.0, duration_s=12.0)
        requests = [r for r in plan_requests(mix) if not r.is_call][:50]
        prompts = [make_prompt(request, mix.seed) for request in requests]
        self.assertEqual(len(set(prompts)), len(prompts))
        for request, prompt in zip(requests, prompts, strict=True):
            self.assertEqual(len(prompt), request.prompt_tokens * 4)
        first = [r for r in requests if r.workspace.name == "large"][:2]
        shared = min(request.prefix_tokens for request in first) * 4
        self.assertEqual(*(make_prompt(request, mix.seed)[:shared] for request in first))


class MixSettingsTest(unittest.TestCase):
    def test_every_mistake_is_reported_with_its_path(self):
        parsed = parse_settings(
            {
                "entries": ["http://127.0.0.1:1"],
                "model": "glacier",
                "workspaces": [{"name": "a", "key": "k", "weight": -1}],
                "lengths": [{"weight": 1, "min_tokens": 10, "max_tokens": 5}],
                "requests_per_s": "many",
                "duration_s": 10,
                "surprise": 1,
            },
            Mix,
        )
        self.assertNotIsInstance(parsed, Success)
        text = "\n".join(parsed.failure())
        for path in ("workspaces[0]", "lengths[0]", "requests_per_s", "surprise"):
            self.assertIn(path, text)


class ReportTest(unittest.TestCase):
    def test_buckets(self):
        cases = {1: "<=4k", 4_000: "<=4k", 4_001: "4k-32k", 128_000: "32k-128k", 128_001: ">128k"}
        for tokens, name in cases.items():
            with self.subTest(tokens=tokens):
                self.assertEqual(prompt_bucket(tokens), name)

    def test_report_counts_failures_and_percentiles(self):
        result = RunResult()
        bucket = result.bucket(2_000, is_call=False)
        bucket.sent = 3
        bucket.whole = 2
        bucket.failures["OVERLOADED NOT_RUN"] = 1
        for duration_s in (0.1, 0.2):
            bucket.first_token.record(duration_s)
        report = to_json(result, duration_s=10.0)["buckets"]["<=4k"]
        self.assertEqual(report["failures"], {"OVERLOADED NOT_RUN": 1})
        self.assertAlmostEqual(report["first_token"]["p95_ms"], 200, delta=1)
        self.assertIn("OVERLOADED NOT_RUN: 1", to_text(result))

    def test_share_within_a_limit(self):
        recorder = LatencyRecorder()
        for duration_s in (0.1, 0.5, 0.6, 2.0):
            recorder.record(duration_s)
        self.assertEqual(recorder.share_within(0.55), 0.5)
