#!/usr/bin/env python3
"""End-to-end test over real processes: stand-in, agents, relays and entries.

    test/end_to_end.py BIN_FOLDER WORK_FOLDER

Ports come from the OS. No verdict depends on a time; deadlines are generous.
"""

import concurrent.futures
import http.client
import itertools
import json
import os
import pathlib
import subprocess
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
FLEET = ROOT / "scripts" / "fleet"
PATIENCE_SECONDS = 30
HOSTS = 3
SHARDS = 20
ITEMS_PER_SHARD = 3
BIN, WORK = (pathlib.Path(name).resolve() for name in sys.argv[1:3])


def call(address, method, path, body=None):
    """One HTTP request on a connection of its own."""
    connection = http.client.HTTPConnection(address, timeout=PATIENCE_SECONDS)
    try:
        text = body if body is None or isinstance(body, str) else json.dumps(body)
        connection.request(method, path, text, {"Content-Type": "application/json"})
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read() or b"null")
    finally:
        connection.close()


def fleet(*arguments):
    """Runs scripts/fleet with the programs under test."""
    return subprocess.run([str(FLEET), *map(str, arguments)], check=True, capture_output=True,
                          text=True, env={**os.environ, "BASILPATH_BIN": str(BIN)})


def eventually(attempt):
    """Repeats `attempt` until it returns something true."""
    end = time.monotonic() + PATIENCE_SECONDS
    while True:
        result = attempt()
        if result or time.monotonic() > end:
            return result
        time.sleep(0.1)


class EndToEnd(unittest.TestCase):
    """Each test has a fleet of its own."""

    def setUp(self):
        self.folder = WORK / f"{self.id().rsplit('.', 1)[1]}-{os.getpid()}"
        drain_ms = 2000 if "graceful" in self.id() else 200
        fleet("start", self.folder, "--hosts", HOSTS, "--standin=--cold_requests=0",
              f"--set=entry:drain.time_ms={drain_ms}")
        self.addCleanup(lambda: self.running() and fleet("stop", self.folder))
        self.state = json.loads((self.folder / "fleet.json").read_text())
        self.callers = self.state["callers"]

    def running(self):
        state = json.loads((self.folder / "fleet.json").read_text())
        return any(pathlib.Path(f"/proc/{one['pid']}").exists()
                   for one in state["processes"].values())

    def record(self):
        return call(self.state["platform"], "GET", "/standin/record")[1]

    def runs_of(self, key):
        return sum(one["count"] for one in self.record()["executions"] if one["key"] == key)

    def query(self, address, customer):
        return call(address, "POST", "/v1/query",
                    {"service": "counter-desk", "class": "valuation", "deadline_ms": 500,
                     "query": {"customer": customer}})

    def full_answer(self, address, customer):
        """A complete answer, asked again while the machine is too slow for the deadline."""
        return eventually(lambda: (lambda answer: answer if answer["code"] == 0 else None)(
            self.query(address, customer)[1]))

    def check_whole(self, answer):
        """Every shard is in the answer, once, from one version."""
        self.assertEqual(answer["coverage"], 1)
        self.assertEqual(answer["missing"], [])
        shards = sorted(item["shard"] for item in answer["items"])
        self.assertEqual(shards, sorted(list(range(SHARDS)) * ITEMS_PER_SHARD))
        self.assertEqual({item["version"] for item in answer["items"]}, {answer["version"]})

    def check_honest(self, answer):
        """What is said of the answer is true of its items."""
        shards = {item["shard"] for item in answer["items"]}
        self.assertLessEqual({item["version"] for item in answer["items"]}, {answer["version"]})
        if answer["code"] in (0, 1):
            self.assertAlmostEqual(answer["coverage"], len(shards) / SHARDS, places=6)
            self.assertEqual(shards | set(answer["missing"]), set(range(SHARDS)))
        else:
            self.assertEqual(shards, set())

    def directory(self, address):
        return call(address, "GET", "/v1/directory")[1]

    def execute(self, address, key, token, body):
        return call(address, "POST", "/v1/execute",
                    {"service": "branch-close", "class": "redemption", "deadline_ms": 1000,
                     "key": key, "token": token, "query": {**body, "key": key}})[1]

    def executed(self, address, token, name):
        """Key and answer of a request that ran, under a new key for each attempt."""
        keys = (f"{name}-{number}" for number in itertools.count())

        def attempt():
            key = next(keys)
            answer = self.execute(address, key, token, {"amount": 5})
            return (key, answer) if answer["code"] == 0 else None
        return eventually(attempt)

    def test_full_answer_from_every_host(self):
        for address in self.callers:
            answer = self.full_answer(address, "n-17")
            self.assertIsNotNone(answer)
            self.check_whole(answer)

    def test_repeated_execute_runs_once_whichever_host_gets_it(self):
        self.assertIsNotNone(self.full_answer(self.callers[0], "n-1"))
        token = self.directory(self.callers[0])["tokens"][0]
        key, first = self.executed(self.callers[0], token, "ticket-1")
        for address in self.callers:
            again = eventually(lambda: (lambda answer: answer if answer["code"] == 2 else None)(
                self.execute(address, key, token, {"amount": 5})))
            self.assertIsNotNone(again)
            self.assertEqual(again["items"], first["items"])
        self.assertEqual(self.runs_of(key), 1)
        other = self.execute(self.callers[0], key, token, {"amount": 6})
        self.assertEqual(other["name"], "key_reused")
        self.assertEqual(self.runs_of(key), 1)

    def test_execute_without_token_runs_nothing(self):
        answer = call(self.callers[0], "POST", "/v1/execute",
                      {"service": "branch-close", "class": "redemption", "deadline_ms": 1000,
                       "key": "ticket-2", "query": {"key": "ticket-2"}})[1]
        self.assertEqual(answer["name"], "token_missing")
        self.assertTrue(answer["not_run"])
        self.assertEqual(self.runs_of("ticket-2"), 0)

    def test_lost_home_is_outcome_unknown_and_not_run_again(self):
        self.assertIsNotNone(self.full_answer(self.callers[0], "n-1"))
        token = self.directory(self.callers[0])["tokens"][0]
        key, _ = self.executed(self.callers[0], token, "ticket-3")
        fleet("signal", self.folder, "entry-host-1", "KILL")
        again = self.execute(self.callers[1], key, token, {"amount": 5})
        self.assertEqual(again["name"], "outcome_unknown", again)
        self.assertFalse(again["not_run"])
        self.assertEqual(self.runs_of(key), 1)

    def test_relay_killed_in_mid_load(self):
        self.assertIsNotNone(self.full_answer(self.callers[0], "n-1"))
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            running = [pool.submit(self.query, self.callers[i % HOSTS], f"n-{i}")
                       for i in range(90)]
            fleet("signal", self.folder, "relay-host-2", "KILL")
            answers = [one.result()[1] for one in running]
        for answer in answers:
            self.check_honest(answer)
        after = self.full_answer(self.callers[0], "n-after")
        self.assertIsNotNone(after)
        self.check_whole(after)

    def test_graceful_stop_answers_everything(self):
        self.assertIsNotNone(self.full_answer(self.callers[0], "n-1"))
        begun = sum(one["received"] for one in self.record()["leaves"].values())
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            running = [pool.submit(self.query, self.callers[0], f"n-{i}") for i in range(24)]
            self.assertTrue(eventually(
                lambda: sum(one["received"] for one in self.record()["leaves"].values()) > begun))
            fleet("signal", self.folder, "entry-host-1", "TERM")
            answered = 0
            for one in running:
                try:
                    status, answer = one.result()
                except ConnectionRefusedError:
                    continue  # The host had gone before it was asked; nothing was cut.
                answered += 1
                self.assertIn(status, (200, 503, 504))
                self.check_honest(answer)
            self.assertGreater(answered, 0)

    def test_bad_input_is_refused_by_number_and_nothing_runs(self):
        address = self.callers[0]
        started = sum(one["started"] for one in self.record()["leaves"].values())
        wrong = {"malformed_request": "not JSON",
                 "unknown_service": {"service": "no-such", "class": "valuation", "query": {}},
                 "unknown_class": {"service": "counter-desk", "class": "no-such", "query": {}},
                 "bad_deadline": {"service": "counter-desk", "class": "valuation",
                                  "deadline_ms": -5, "query": {}}}
        for name, body in wrong.items():
            status, answer = call(address, "POST", "/v1/query", body)
            self.assertEqual(answer["name"], name, answer)
            self.assertGreaterEqual(status, 400)
            self.assertTrue(answer["not_run"])
        self.assertEqual(sum(one["started"] for one in self.record()["leaves"].values()), started)

    def test_draining_leaf_gets_no_work_after_it_said_so(self):
        address = self.callers[0]
        self.assertIsNotNone(self.full_answer(address, "n-1"))
        platform = self.state["platform"]
        status, _ = call(platform, "POST", "/standin/leaving", {"leaves": ["counter-desk-0a"]})
        self.assertEqual(status, 200)

        def moved():
            """Whether a whole answer came without the leaving leaf."""
            answer = self.query(address, "n-2")[1]
            leaves = {item["leaf"] for item in answer["items"]}
            return answer["code"] == 0 and "counter-desk-0a" not in leaves
        self.assertTrue(eventually(lambda: all(moved() for _ in range(5))))


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], "-v", *sys.argv[3:]])
