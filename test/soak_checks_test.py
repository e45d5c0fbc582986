#!/usr/bin/env python3
"""Tests of the checks of the soak, on made-up observations."""

import asyncio
import json
import os
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import time
import types
import unittest
from unittest import mock

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "soak"))
from callers import CONFIG_APPLY_S, VERSION_SLACK_S, VERSIONS, Callers  # noqa: E402
from cold_leafs import (  # noqa: E402
    KNOWN_S, WINDOW_S, ColdLeaf, ColdSpan, allowed_a_window)
from drills import COPY_AGE_S, Drills  # noqa: E402
from evacuations import EVACUATE_S, PREFIX, Evacuations  # noqa: E402
from leaving import DRAIN_S, SaidLeaving  # noqa: E402
from limits import CONTACT_S, host_of_connection  # noqa: E402
from pipelines import READ_SLACK_S, Unanswered  # noqa: E402
from platform_standin import Leaf, Store, read_body, read_head, reply  # noqa: E402
import soak  # noqa: E402
from soak import Node, World  # noqa: E402


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


class ConfigCheck(unittest.TestCase):
    """A host in touch uses a version soon after it was acknowledged."""

    def setUp(self):
        self.violations = []
        self.now = time.monotonic()
        self.node = Node.__new__(Node)
        self.node.ip, self.node.started, self.node.disturbances = "host", self.now - 60, []
        self.world = types.SimpleNamespace(
            runs={}, published_at_run={}, acknowledged={4: self.now - 30},
            store_steady_since=self.now - 60,
            report_violation=lambda promise, what: self.violations.append(promise))
        self.world.evacuations = Evacuations(self.world)
        self.callers = Callers(self.world)

    def run_at(self, version, acknowledged_ago, published=5):
        """Lets a request that was sent just now run after version 5 was acknowledged."""
        self.world.acknowledged[5] = self.now - acknowledged_ago
        self.world.runs["r"] = [(f"v{version % VERSIONS}", "leaf", "GET", "/", b"")]
        self.world.published_at_run["r"] = published
        self.callers.check_in_force(self.node, "r", self.now)
        return self.violations

    def test_an_older_version_is_found_once_the_newer_one_is_due(self):
        self.assertEqual(self.run_at(4, CONFIG_APPLY_S - 0.1), [])
        self.assertEqual(self.run_at(5, CONFIG_APPLY_S + 0.1), [])
        self.assertEqual(self.run_at(4, CONFIG_APPLY_S + 0.1), ["config"])

    def test_a_version_that_is_newer_than_the_one_due_is_allowed(self):
        self.assertEqual(self.run_at(6, CONFIG_APPLY_S + 0.1, published=6), [])

    def test_a_request_that_did_not_run_is_allowed(self):
        self.world.acknowledged[5] = self.now - 20
        self.callers.check_in_force(self.node, "r", self.now)
        self.assertEqual((self.violations, self.callers.versions_checked), ([], 0))

    def test_hosts_out_of_touch_are_excused_until_contact(self):
        def restart(ago):
            self.node.started = self.now - ago

        def disturb(ago):
            self.node.disturbances = [(self.now - 60, self.now - ago)]

        def harm_store(ago):
            self.world.store_steady_since = self.now - ago
        for harm in (restart, disturb, harm_store):
            self.setUp()
            harm(CONTACT_S - 0.5)
            self.assertEqual(self.run_at(4, 20), [], harm)
            harm(CONTACT_S + 0.1)
            self.assertEqual(self.run_at(4, 20), ["config"], harm)

    def test_a_host_that_was_disturbed_before_the_answer_is_excused(self):
        self.node.disturbances = [(self.now, self.now + 1)]
        self.assertEqual(self.run_at(4, 20), [])


class SaidLeavingCheck(unittest.TestCase):
    """A leaf that a host has passed on to leave gets nothing that a caller sent late."""

    def setUp(self):
        self.said = SaidLeaving()
        self.node = types.SimpleNamespace(
            ip="host", number=1, process=types.SimpleNamespace(pid=1), pauses=[])

    def late(self, sent_after, passed_on=100.0, at=None):
        """Requests found when one is sent some time after an answer was passed on."""
        if passed_on is not None:
            self.said.note_answer(self.node, "signature")
        with mock.patch("leaving.time.monotonic", lambda: at or 100.1 + sent_after):
            self.said.note_arrival(self.node, "r")
        return self.said.late({"signature": passed_on} if passed_on else {},
                              {"r": 100.0 + sent_after})

    def test_a_request_sent_late_is_found_and_an_early_one_is_allowed(self):
        self.assertEqual(self.late(DRAIN_S - 0.1, at=110.0), [])
        self.setUp()
        self.assertEqual(len(self.late(DRAIN_S + 0.1)), 1)

    def test_an_answer_that_was_not_passed_on_does_not_count(self):
        self.said.note_answer(self.node, "signature")
        self.assertEqual(self.late(DRAIN_S + 0.1, passed_on=None), [])

    def test_other_hosts_and_new_processes_are_allowed(self):
        self.said.note_answer(self.node, "signature")
        self.node.process = types.SimpleNamespace(pid=2)
        self.assertEqual(self.late(DRAIN_S + 0.1, passed_on=None), [])
        self.said.note_arrival(None, "r")
        self.assertEqual(self.said.late({"signature": 100.0}, {"r": 110.0}), [])

    def test_only_a_pause_since_the_answer_excuses(self):
        self.node.pauses = [(90.0, 99.0)]
        self.assertEqual(len(self.late(DRAIN_S + 0.1)), 1)
        self.node.pauses = [(90.0, 101.0)]
        self.assertEqual(self.late(DRAIN_S + 0.1), [])

    def test_a_leaf_that_leaves_says_so_in_all_answers(self):
        world = types.SimpleNamespace(store=Store("127.0.0.1"), nodes=[], seed=1,
                                      args=types.SimpleNamespace(plant=None),
                                      record_run=lambda *run: None,
                                      records=lambda request, service: b"records")
        leaf = Leaf(world, "desk", "127.0.0.1", "a", random.Random(1))
        leaf.share = 1.0

        def answer(fault=None, path="/one/1", target=None):
            sent = []
            leaf.fault = fault
            asyncio.run(leaf.answer(
                ["GET", path, "HTTP/1.1"], {"x-target-instance": target or leaf.id}, b"",
                types.SimpleNamespace(write=sent.append, get_extra_info=lambda name: ("::", 1))))
            return sent[0]
        kinds = [{}, {"fault": "shed"}, {"fault": "error"}, {"path": "/health"},
                 {"target": "i-other"}]
        with mock.patch("leaving.host_of_connection", lambda *ends: None):
            for kind in kinds:
                self.assertNotIn(b"Server-Leaving", answer(**kind), kind)
            leaf.is_leaving = True
            for kind in kinds:
                self.assertIn(b"Server-Leaving: 1", answer(**kind), kind)
            leaf.write_entry()
        self.assertEqual(json.loads(world.store.items[leaf.key][0])["state"], "draining")


class DrillCheck(unittest.TestCase):
    """The stand-in of the store comes back from a copy as the users' pages say."""

    def setUp(self):
        self.store = Store("127.0.0.1")
        for key in ("op/config", "servers/a", "servers/b"):
            self.store.put_bytes(key, b"old")

    def drill(self, meanwhile=lambda store: None):
        """Plays a drill whose copy lacks what was written before the store went away."""
        async def play():
            await self.store.start()
            copy = self.store.copy()
            self.store.put_bytes("op/config", b"new")
            self.store.put_bytes("servers/c", b"new")
            self.store.delete("servers/b")
            self.store.go_away()
            with self.assertRaises(OSError):
                await asyncio.open_connection(self.store.host, self.store.port)
            meanwhile(self.store)
            await self.store.come_back(copy)
            answers = [await self.ask(path) for path in (
                "/kv-range?prefix=op/", "/kv-watch?prefix=&after=6&waitMs=1000",
                "/kv-watch?prefix=&after=2&waitMs=1000", "/nothing")]
            await self.store.stop()
            return answers
        return asyncio.run(play())

    async def ask(self, path):
        reader, writer = await asyncio.open_connection(self.store.host, self.store.port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: s\r\n\r\n".encode())
            head, headers = await read_head(reader)
            body = await read_body(reader, headers)
        finally:
            writer.close()
        return int(head[1]), headers["store-era"], json.loads(body or b"null")

    def test_items_and_revisions_go_back_and_the_era_rises(self):
        range_, beyond, known, other = self.drill()
        self.assertEqual([one[1] for one in (range_, beyond, known, other)], ["2"] * 4)
        self.assertEqual(range_[2]["currentRev"], 3)
        self.assertEqual(range_[2]["items"][0]["value"], "b2xk")
        self.assertEqual((beyond[0], known[0], other[0]), (410, 200, 404))
        self.assertEqual([one["revision"] for one in known[2]["events"]], [3])

    def test_what_was_written_since_the_copy_is_missing_until_written_again(self):
        self.drill(lambda store: store.put_bytes("servers/d", b"while away"))
        self.assertEqual(self.store.lost_keys("op/"), ["op/config"])
        self.assertEqual(self.store.lost_keys("servers/"),
                         ["servers/b", "servers/c", "servers/d"])
        for key in self.store.lost_keys(""):
            self.store.write_latest(key)
        self.assertEqual(self.store.lost_keys(""), [])
        self.assertEqual(sorted(self.store.items),
                         ["op/config", "servers/a", "servers/c", "servers/d"])
        self.assertEqual(self.store.revision, 7)

    def test_a_watch_that_waits_is_cut(self):
        async def play():
            await self.store.start()
            asking = asyncio.create_task(self.ask("/kv-watch?prefix=&after=3&waitMs=9000"))
            while not self.store.calls:
                await asyncio.sleep(0.01)
            copy = self.store.copy()
            self.store.go_away()
            with self.assertRaises((OSError, TypeError)):
                await asking
            await self.store.come_back(copy)
            await self.store.stop()
        asyncio.run(play())

    def test_copies_are_as_old_as_a_drill_needs(self):
        drills = Drills(types.SimpleNamespace(store=self.store))
        now = time.monotonic()
        self.assertIsNone(drills.choose_copy(random.Random(1)))
        drills.copies = [(now - COPY_AGE_S[0] + 0.5, "young")]
        self.assertIsNone(drills.choose_copy(random.Random(1)))
        drills.copies.append((now - COPY_AGE_S[0] - 0.5, "old"))
        self.assertEqual(drills.choose_copy(random.Random(1)), "old")

    def test_a_leaf_waits_for_a_store_that_does_not_serve(self):
        async def play(**state):
            vars(self.store).update(state)
            waiting = asyncio.create_task(drills.leaf_can_write())
            await asyncio.sleep(0.1)
            self.assertEqual(waiting.done(), self.store.serves, state)
            vars(self.store).update(mode="up", is_away=False)
            await waiting
        drills = Drills(types.SimpleNamespace(
            store=self.store, rng=types.SimpleNamespace(uniform=lambda low, high: 0.0)))
        for state in ({}, {"is_away": True}, {"mode": "busy"}, {"mode": "silent"}):
            asyncio.run(play(**state))

    def test_an_entry_changes_when_more_than_its_count_changes(self):
        world = types.SimpleNamespace(store=self.store, args=types.SimpleNamespace(plant=None))
        leaf = Leaf(world, "desk", "127.0.0.1", "a", random.Random(1))
        leaf.write_entry()
        revision = self.store.revision
        leaf.write_entry()
        self.assertEqual(self.store.revision, revision)
        leaf.is_leaving = True
        leaf.write_entry()
        self.assertEqual(self.store.revision, revision + 1)
        self.assertEqual(json.loads(self.store.items[leaf.key][0])["seq"], 4)


class GroupCheck(unittest.TestCase):
    """Each request of a group that a host has read is answered, in order."""

    def setUp(self):
        self.violations = []
        self.world = types.SimpleNamespace(
            runs={}, published_at_run={}, requests=[], leafs=[], nodes=[], port=1, seed=1,
            args=types.SimpleNamespace(plant=None), records=lambda request, service: b"records",
            report_violation=lambda promise, what: self.violations.append((promise, what)))
        self.callers = Callers(self.world)
        self.pipelines = self.callers.pipelines

    def reason(self, waited, has_run=False, follows_answer=False, stalled=0.0):
        request = self.callers.compose("one")
        request.sent = 100.0
        return Unanswered(request, "host", "closed", 100.0 + waited,
                          follows_answer).reason_lost(has_run, stalled)

    def test_a_request_that_the_host_has_had_for_a_while_is_lost(self):
        self.assertIsNotNone(self.reason(READ_SLACK_S + 0.01))
        self.assertIsNone(self.reason(READ_SLACK_S - 0.01))

    def test_a_request_that_was_passed_on_is_lost_at_once(self):
        self.assertIsNotNone(self.reason(0.0, has_run=True))

    def test_a_request_in_one_write_with_an_answered_one_is_lost_at_once(self):
        self.assertIsNotNone(self.reason(0.0, follows_answer=True))

    def test_a_stall_of_the_callers_does_not_count(self):
        self.assertIsNone(self.reason(READ_SLACK_S + 0.01, stalled=0.02))
        self.assertIsNotNone(self.reason(READ_SLACK_S + 0.03, stalled=0.02))

    def receive(self, ids_answered, requests=2, at_once=True, announces_close=False):
        """Lets a group receive signed answers with the ids given, then the end."""
        async def play():
            group = [self.callers.compose("one") for _ in range(requests)]
            reader = asyncio.StreamReader()
            for request in group:
                self.callers.note_sent(request)
                self.world.runs[request.id] = [("desk", "leaf", "GET", f"/one/{request.id}", b"")]
            for position in ids_answered:
                id = group[position].id
                more = [("Connection", "close")] if announces_close else []
                reader.feed_data(reply(200, b"records", [
                    ("X-Response-Signature", self.callers.signature(id, "leaf")), *more]))
            reader.feed_eof()
            sending = asyncio.create_task(asyncio.sleep(0))
            return await self.pipelines._receive(
                random.Random(1), reader, "host", group, at_once, sending)
        kept = asyncio.run(play())
        self.pipelines.check_lost()
        return kept

    def promises(self):
        return [promise for promise, _ in self.violations]

    def test_all_answered_in_order_is_kept(self):
        self.assertTrue(self.receive([0, 1]))
        self.assertEqual(self.violations, [])

    def test_answers_in_another_order_are_found(self):
        self.receive([1, 0])
        self.assertEqual(self.promises(), ["mixed", "mixed"])

    def test_each_request_without_an_answer_is_found(self):
        self.assertFalse(self.receive([0], requests=3))
        self.assertEqual(self.promises(), ["lost", "lost"])

    def test_a_request_dropped_behind_an_announced_close_is_found(self):
        self.assertFalse(self.receive([0], announces_close=True))
        self.assertEqual(self.promises(), ["lost"])


class SlowReaderCheck(unittest.TestCase):
    """A large answer arrives whole, however slowly it is read."""

    def setUp(self):
        GroupCheck.setUp(self)
        self.content = b"r" * 100_000
        self.world.records = lambda request, service: self.content

    def read(self, cut_at):
        """Reads an answer that its server cuts after some bytes of its body."""
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            request = next(iter(self.callers.answers))
            self.world.runs[request] = [("large", "leaf", "GET", f"/large/{request}", b"")]
            whole = reply(200, self.content, [
                ("X-Response-Signature", self.callers.signature(request, "leaf"))])
            head = len(whole) - len(self.content)
            writer.write(whole[:head + cut_at])
            await writer.drain()
            writer.close()

        async def play():
            server = await asyncio.start_server(answer, "127.0.0.1", 0)
            self.world.port = server.sockets[0].getsockname()[1]
            await self.callers.slow_readers.read_one(random.Random(1), "127.0.0.1")
            server.close()
        asyncio.run(play())
        self.callers.check_lost()

    def test_a_whole_answer_is_kept(self):
        self.read(len(self.content))
        self.assertEqual(self.violations, [])
        self.assertEqual(self.callers.slow_readers.answers, 1)

    def test_an_answer_cut_at_its_last_byte_is_found(self):
        self.read(len(self.content) - 1)
        self.assertEqual([promise for promise, _ in self.violations], ["lost"])


class MemoryCheck(unittest.TestCase):
    """No host uses more memory than its settings allow."""

    def violations_of(self, *peaks):
        world = World.__new__(World)
        world.args, world.violations = types.SimpleNamespace(plant=None, memory_mb=128.0), []
        world.peak_memory_mb = 0.0
        world.nodes = [types.SimpleNamespace(
            ip=str(number), is_running=True, process=types.SimpleNamespace(pid=number),
            peak_memory_mb=lambda peak=peak: peak) for number, peak in enumerate(peaks)]

        async def play():
            measuring = asyncio.create_task(world.measure_memory())
            await asyncio.sleep(0)
            measuring.cancel()
        asyncio.run(play())
        return world.violations

    def test_each_host_over_its_limit_is_found(self):
        self.assertEqual(self.violations_of(127.0, 128.0), [])
        self.assertEqual(len(self.violations_of(129.0, 1.0, 129.0)), 2)

    def test_the_peak_of_a_process_is_read(self):
        node = Node.__new__(Node)
        node.process = subprocess.Popen([sys.executable, "-c", "input('ready')"],
                                        stdin=subprocess.PIPE, stdout=subprocess.PIPE,
                                        stderr=subprocess.DEVNULL)
        self.addCleanup(node.process.stdout.close)
        try:
            # A process that has just been started has hardly any memory yet.
            self.assertEqual(node.process.stdout.read(5), b"ready")
            self.assertGreater(node.peak_memory_mb(), 1.0)
        finally:
            node.process.communicate(b"\n")
        self.assertEqual(node.peak_memory_mb(), 0.0)


class EvacuationCheck(unittest.TestCase):
    """Nothing but what gets 421 arrives late at a leaf of an evacuated zone."""

    def setUp(self):
        self.violations = []
        self.now = time.monotonic()
        clock = mock.patch("evacuations.time", types.SimpleNamespace(monotonic=lambda: self.now))
        clock.start()
        self.addCleanup(clock.stop)
        process = types.SimpleNamespace(pid=os.getpid())
        self.node = Node.__new__(Node)
        self.node.ip, self.node.started, self.node.disturbances = "host", self.now - 60, []
        self.node.process, process.returncode = process, None
        self.world = types.SimpleNamespace(
            store=Store("127.0.0.1"), nodes=[self.node], store_steady_since=self.now - 60,
            args=types.SimpleNamespace(plant=None), seed=1,
            report_violation=lambda promise, what: self.violations.append(promise))
        self.evacuations = self.world.evacuations = Evacuations(self.world)
        self.leaf = Leaf(self.world, "desk", "127.0.0.1", "a", random.Random(1))
        server = socket.create_server(("127.0.0.1", 0))
        client = socket.create_connection(server.getsockname())
        far = server.accept()[0]
        for one in (server, client, far):
            self.addCleanup(one.close)
        self.writer = types.SimpleNamespace(get_extra_info=lambda name: {
            "peername": client.getsockname(), "sockname": client.getpeername()}[name])

    def arrive(self, path="/one/1", target=None, after=EVACUATE_S + 0.1):
        """Lets a request arrive some time after the acknowledgement."""
        if "a" in self.evacuations.acknowledged:
            self.evacuations.acknowledged["a"] = self.now - after
        self.leaf.arrived(["GET", path, "HTTP/1.1"],
                          {"x-target-instance": target or self.leaf.id}, self.writer)
        return self.violations

    def test_a_late_request_is_found_and_an_early_one_is_allowed(self):
        self.evacuations.begin("a", b"")
        self.assertEqual(self.arrive(after=EVACUATE_S - 0.1), [])
        self.assertEqual(self.arrive(), ["evac"])

    def test_a_late_health_check_is_found(self):
        self.evacuations.begin("a", b"{")
        self.assertEqual(self.arrive("/health"), ["evac"])

    def test_a_request_that_gets_421_is_allowed(self):
        self.evacuations.begin("a", b"")
        self.assertEqual(self.arrive(target="i-other"), [])

    def test_requests_to_other_zones_and_after_the_end_are_allowed(self):
        self.evacuations.begin("b", b"")
        self.assertEqual(self.arrive(), [])
        self.evacuations.begin("a", b"")
        self.evacuations.end("a")
        self.assertEqual(self.arrive(), [])
        self.assertEqual(list(self.world.store.items), [PREFIX + "b"])

    def test_writing_the_item_again_does_not_begin_anew(self):
        self.evacuations.begin("a", b"")
        began = self.evacuations.acknowledged["a"]
        self.evacuations.rewrite("a", b"{}")
        self.assertEqual(self.evacuations.acknowledged["a"], began)

    def test_hosts_out_of_touch_are_excused_until_contact(self):
        def restart(ago):
            self.node.started = self.now - ago

        def disturb(ago):
            self.node.disturbances = [(self.now - 60, self.now - ago)]

        def harm_store(ago):
            self.world.store_steady_since = self.now - ago
        for harm in (restart, disturb, harm_store):
            self.setUp()
            self.evacuations.begin("a", b"")
            harm(CONTACT_S - 1)
            self.assertEqual(self.arrive(), [], harm)
            self.assertEqual(self.evacuations.excused, 1)
            harm(CONTACT_S + 0.1)
            self.assertEqual(self.arrive(), ["evac"], harm)

    def test_a_connection_is_told_from_one_with_the_same_local_port(self):
        ends = self.writer.get_extra_info("peername"), self.writer.get_extra_info("sockname")
        self.assertIs(host_of_connection([self.node], *ends), self.node)
        other = "127.0.0.1", 1
        self.assertIsNone(host_of_connection([self.node], ends[0], other))


class ColdCheck(unittest.TestCase):
    """A cold leaf gets no more requests in a second than all hosts together may send."""

    PER_S = 6
    ALLOWED = int(allowed_a_window(PER_S))

    def excess(self, arrivals, spans, outages=(), stalls=()):
        leaf = ColdLeaf()
        leaf.spans = [ColdSpan(*span) for span in spans]
        for at in arrivals:
            leaf.note_arrival(at)
        inside, _ = leaf.most(outages, stalls)
        return inside if inside > allowed_a_window(self.PER_S) else None

    def test_one_request_too_many_in_any_second_is_found(self):
        cold = [(100.0, 103.0, True)]
        self.assertIsNone(self.excess([101.5] * self.ALLOWED, cold))
        self.assertEqual(self.excess([101.5] * self.ALLOWED + [102.4], cold), self.ALLOWED + 1)
        self.assertIsNone(
            self.excess([101.5] * self.ALLOWED + [101.5 + WINDOW_S], cold))

    def test_a_known_cold_leaf_counts_at_once_and_to_its_end(self):
        cold = [(100.0, 103.0, True)]
        many = self.ALLOWED + 1
        self.assertIsNotNone(self.excess([100.0] * many, cold))
        self.assertIsNotNone(self.excess([102.9] * many, cold))
        self.assertIsNone(self.excess([103.1] * many, cold))

    def test_a_surprise_counts_once_hosts_know(self):
        cold = [(100.0, 106.0, False)]
        many = self.ALLOWED + 1
        self.assertIsNone(self.excess([100.0 + KNOWN_S - 0.1] * many, cold))
        self.assertIsNotNone(self.excess([100.0 + KNOWN_S + 0.1] * many, cold))

    def test_a_surprise_while_cold_does_not_excuse_what_was_known(self):
        cold = [(100.0, 103.0, True), (102.0, 105.0, False)]
        many = self.ALLOWED + 1
        self.assertIsNotNone(self.excess([102.5] * many, cold))
        self.assertIsNone(self.excess([103.5] * many, cold))
        self.assertIsNotNone(self.excess([104.5] * many, cold))

    def test_only_an_outage_of_the_store_puts_off_a_surprise(self):
        cold = [(100.0, 110.0, False)]
        many = self.ALLOWED + 1
        outages = [(99.0, 101.0)]
        self.assertIsNone(self.excess([104.9] * many, cold, outages))
        self.assertIsNotNone(self.excess([105.1] * many, cold, outages))
        self.assertIsNotNone(self.excess([104.9] * many, cold, [(50.0, 60.0)]))
        self.assertIsNotNone(self.excess([102.5] * many, cold, [(102.1, 104.0)]))

    def test_requests_that_waited_in_a_stall_count_when_they_may_have_been_sent(self):
        cold = [(100.0, 106.0, True)]
        early, late = [101.0] * self.ALLOWED, [101.9]
        self.assertIsNotNone(self.excess(early + late, cold))
        # The early ones may have been sent before the second that holds the late one.
        self.assertIsNone(self.excess(early + late, cold, stalls=[(100.8, 101.0)]))
        self.assertIsNotNone(self.excess(early + [101.0], cold, stalls=[(100.8, 101.0)]))

    def test_the_entry_and_health_answers_tell_how_long_it_is_cold(self):
        world = types.SimpleNamespace(store=Store("127.0.0.1"), nodes=[], seed=1)
        leaf = Leaf(world, "desk", "127.0.0.1", "a", random.Random(1))
        self.assertEqual(leaf.entry()["coldLeftMs"], 0)
        leaf.cold.become_cold(3.0, is_known=False)
        self.assertTrue(2500 < leaf.entry()["coldLeftMs"] <= 3000)
        sent = []
        asyncio.run(leaf.answer(["GET", "/health", "HTTP/1.1"], {}, b"",
                                types.SimpleNamespace(write=sent.append)))
        self.assertIn(b"X-Cold-Ms: 2", sent[0].replace(b"X-Cold-Ms: 3000", b"X-Cold-Ms: 2"))


class BudgetCheck(unittest.TestCase):
    """A service gets no more repeats than a share of what callers sent for it, and a slack."""

    def violations_of(self, service, kind, sent, repeats):
        """Violations when of the requests that were sent only 100 arrive."""
        world = World.__new__(World)
        world.violations = []
        world.requests = [(100.0, kind)] * sent
        firsts = [(100.0, service, number) for number in range(100)]
        world.arrivals = firsts + [(100.0, service, number % 100) for number in range(repeats)]
        world.check_budget()
        return [promise for promise, _ in world.violations]

    def test_requests_count_whether_they_arrive_or_not(self):
        for service, kind in [("lookup", "lookup"), ("large", "large"), ("desk", "order"),
                              ("s0", "all")]:
            self.assertEqual(self.violations_of(service, kind, 200, 80), [], service)
            self.assertEqual(self.violations_of(service, kind, 200, 81), ["budget"], service)
            self.assertEqual(self.violations_of(service, kind, 100, 61), ["budget"], service)


class StopCheck(unittest.TestCase):
    """A host that gets SIGTERM ends by itself, in time and without an error."""

    def setUp(self):
        self.grace, soak.GRACE_S = soak.GRACE_S, 0.5
        self.addCleanup(setattr, soak, "GRACE_S", self.grace)

    def violations_of(self, on_term, started=0.0):
        """Stops a process that does something on SIGTERM."""
        async def play(folder):
            world = World.__new__(World)
            world.violations, world.rng = [], random.Random(1)
            ready = pathlib.Path(folder) / "ready"
            process = await asyncio.create_subprocess_exec(
                "sh", "-c", f"trap '{on_term}' TERM; touch {ready}; while :; do sleep 0.02; done")
            while not ready.exists():
                await asyncio.sleep(0.01)
            started_again = asyncio.Event()

            async def start():
                started_again.set()
            node = types.SimpleNamespace(
                ip="host", process=process, is_running=True, expected_end=False, started=started,
                disturbed_until=0.0, disturbances=[], signal=process.send_signal, start=start)
            world.signal_again = lambda node: asyncio.sleep(0)
            await world.stop_and_start(node)
            self.assertTrue(started_again.is_set())
            return world.violations
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(play(folder))

    def test_a_host_that_ends_with_an_error_is_found(self):
        self.assertEqual(len(self.violations_of("exit 3")), 1)

    def test_a_host_that_is_ended_by_a_signal_is_found(self):
        self.assertEqual(len(self.violations_of("trap - TERM; kill -TERM $$")), 1)

    def test_a_host_that_does_not_end_is_found(self):
        self.assertEqual(len(self.violations_of(":")), 1)


if __name__ == "__main__":
    unittest.main()
