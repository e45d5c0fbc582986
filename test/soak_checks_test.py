#!/usr/bin/env python3
"""Tests of the checks of the soak, on made-up observations."""

import pathlib
import sys
import time
import types
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "soak"))
from callers import VERSION_SLACK_S, VERSIONS, Callers  # noqa: E402


class VersionCheck(unittest.TestCase):
    """The versions that one host uses never go back."""

    def setUp(self):
        self.violations = []
        self.world = types.SimpleNamespace(
            runs={}, published_at_run={},
            report_violation=lambda promise, what: self.violations.append(what))
        self.callers = Callers(self.world)
        self.node = types.SimpleNamespace(ip="host", process=types.SimpleNamespace(pid=1))

    def run_at(self, version, published, sent_after_s=VERSION_SLACK_S * 2):
        request = f"r{len(self.world.runs)}"
        self.world.runs[request] = [(f"v{version % VERSIONS}", "leaf", "GET", "/", b"")]
        self.world.published_at_run[request] = published
        self.callers.check_version(self.node, request, time.monotonic() + sent_after_s)

    def test_each_step_back_is_found(self):
        for back in range(1, VERSIONS):
            self.setUp()
            self.run_at(40, 40)
            self.run_at(40 - back, 40)
            self.assertEqual(len(self.violations), 1, back)

    def test_steps_forward_are_allowed_however_long(self):
        for forward in range(1, VERSIONS):
            self.setUp()
            self.run_at(2, 2)
            self.run_at(2 + forward, 2 + forward)
            self.assertEqual(self.violations, [], forward)

    def test_a_version_that_was_not_published_yet_is_found(self):
        self.run_at(2, 2)
        self.run_at(13, 2)
        self.assertEqual(len(self.violations), 1)

    def test_a_request_sent_just_after_the_newer_version_is_allowed(self):
        self.run_at(40, 40)
        self.run_at(39, 40, sent_after_s=0)
        self.assertEqual(self.violations, [])

    def test_a_new_process_may_use_an_older_version(self):
        self.run_at(40, 40)
        self.node.process.pid = 2
        self.run_at(39, 40)
        self.assertEqual(self.violations, [])


if __name__ == "__main__":
    unittest.main()
