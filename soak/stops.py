#!/usr/bin/env python3
"""Stops of basilpath-node with a second event during the stop.

Each scenario starts hosts as separate processes beside stand-ins of the store
and the leafs, sends requests on kept and on new connections, stops one host or
two, and verifies that each request which the host had read was answered whole,
that refused requests have not run, that none of those that may not be repeated
ran twice, and that the process ended by itself. Exits with 1 after a violation.
"""

import argparse
import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from callers import LOSS_SLACK_S, Callers  # noqa: E402
from platform_standin import Leaf, Store, read_body, read_head  # noqa: E402
from soak import CONNECTIONS, GRACE_S, SHARDS, Node, World  # noqa: E402

# Scenarios that run beside one another.
PARALLEL = 4
DEADLINE_MS = 9000
TIMEOUT_MS = 10_000
# A caller waits beyond its deadline before it reports a missing answer.
PATIENCE_S = 3.0
# Longest time after `GRACE_S`, or after the end of a pause, until a process that
# has not ended is killed.
END_SLACK_S = 2.0
LEAF_SLOTS = 16
LEAF_WORK_S = [0.004, 0.02, 0.1, 0.3]
BIG_ANSWER_BYTES = 1_500_000
HALF_BODY_BYTES = 40_000
PAUSE_AFTER_S, RESUME_AFTER_S = 3.0, 6.5
ANSWERS_DUE_S = 5.3


class StopLeaf(Leaf):
    """A leaf with more slots."""

    def __init__(self, world, service, host, zone, rng):
        super().__init__(world, service, host, zone, rng)
        self.slots = asyncio.Semaphore(LEAF_SLOTS)

    def entry(self, state="ready"):
        return dict(super().entry(state), slots=LEAF_SLOTS)


class StopNode(Node):
    """A host whose signals leave it to the loop to collect the exit code."""

    async def start(self, first=False):
        await super().start(first)
        self.watch = asyncio.create_task(self._note_end())

    async def _note_end(self):
        await self.process.wait()
        self.ended = time.monotonic()

    def signal(self, number):
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)


class StopWorld(World):
    """The environment of one scenario."""

    def __init__(self, args, name, seed, folder, index):
        super().__init__(args, seed, folder)
        self.name = name
        self.net = 64 + (self.net - 64 + index) % 128
        self.store = Store(f"127.{self.net}.9.1")
        self.pauses, self.ends = [], []
        self.shard_zones = SCENARIOS[name].shard_zones

    def report_violation(self, promise, what):
        self.violations.append((promise, what))
        print(f"  {self.name} seed {self.seed}: broken {promise}: {what}", flush=True)

    def records(self, request, service):
        if service == "big":
            return random.Random(request).randbytes(BIG_ANSWER_BYTES)
        return super().records(request, service)

    async def add_leaf(self, service, zone):
        self.next_leaf += 1
        leaf = StopLeaf(self, service, f"127.{self.net}.2.{self.next_leaf}", zone, self.rng)
        leaf.work = self.rng.choice(LEAF_WORK_S)
        await leaf.start()
        self.leafs.append(leaf)
        self.all_leafs.append(leaf)
        self.store.put(leaf.key, leaf.entry())
        return leaf

    def put_configuration(self):
        self.version += 1
        services = [f"s{n}" for n in range(SHARDS)]
        self.shard_sets[self.version] = frozenset(services)
        common = {"host": "h", "timeoutMs": TIMEOUT_MS, "attempts": 2, "priority": 1,
                  "type": "idempotent", "targetLatencyMs": 600}
        routes = [dict(common, name=name, prefix=f"/{name}/", backend=name)
                  for name in ("one", "lookup", "hang", "big")]
        routes += [
            dict(common, name="order", prefix="/order/", type="non_idempotent", backend="one"),
            dict(common, name="all", prefix="/all/", gather=services, topK=6, minCoverage=0.6)]
        self.store.put("op/config", {
            "version": self.version * 3, "routes": routes,
            "backends": [{"name": name, "healthCheck": "/health", "maxConns": CONNECTIONS}
                         for name in sorted({"one", "lookup", "hang", "big", *services})],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}})

    async def build(self):
        await self.store.start()
        for service in [f"s{n}" for n in range(SHARDS)] + ["one", "lookup", "hang", "big"]:
            zones = "abab" if service in ("one", "lookup") else "ab"
            for zone in self.shard_zones if service.startswith("s") else zones:
                await self.add_leaf(service, zone)
        self.put_configuration()
        self.nodes = [StopNode(self, n) for n in range(self.args.nodes)]
        for node in self.nodes:
            node.leaving = False
            await node.proxy.start()
        for node in self.nodes:
            await node.start(first=True)

    def silence(self):
        """Half of the leafs of long requests, and one of a shard, do not answer any more."""
        for leaf in self.leafs:
            if leaf.service == "hang":
                leaf.fault, leaf.share = "silent", 1.0
        for service in ("lookup", f"s{self.rng.randrange(SHARDS)}"):
            some = [leaf for leaf in self.leafs if leaf.service == service]
            for leaf in self.rng.sample(some, len(some) // 2):
                leaf.fault, leaf.share = "silent", 1.0

    def terminate(self, node):
        node.leaving = True
        node.expected_end = True
        node.terminated = time.monotonic()
        node.signal(signal.SIGTERM)

    async def pause(self, node, until):
        start = time.monotonic()
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(until - start)
        node.signal(signal.SIGCONT)
        self.pauses.append((node.ip, start, time.monotonic()))

    async def await_end(self, node):
        """A process ends by itself, soon after a pause that lasts beyond its time."""
        limit = max([node.terminated + GRACE_S] +
                    [until for ip, _, until in self.pauses if ip == node.ip]) + END_SLACK_S
        try:
            await asyncio.wait_for(node.watch, limit - time.monotonic())
            took = node.ended - node.terminated
            self.ends.append(took)
            if self.args.time and took > GRACE_S and not self.pauses:
                self.report_violation("stop", f"{node.ip} ended {took:.2f} s after SIGTERM")
            if node.process.returncode != 0:
                self.report_violation("stop", f"{node.ip} exited with {node.process.returncode}")
        except asyncio.TimeoutError:
            self.report_violation("stop", f"{node.ip} has not ended by itself")
            node.process.kill()
            await node.process.wait()

    def paused(self, ip, start, end):
        return sum(max(0.0, min(end, until) - max(start, since))
                   for one, since, until in self.pauses if one == ip)

    async def stop(self):
        for node in self.nodes:
            node.expected_end = True
            if node.is_running:
                node.process.kill()
                await node.process.wait()
            await node.proxy.stop()
            node.log.close()
        for leaf in self.leafs:
            await leaf.stop()
        await self.store.stop()


class StopCallers(Callers):
    """Callers on kept and on new connections to chosen hosts."""

    def __init__(self, world):
        super().__init__(world)
        self.done = False

    async def connect(self, ip, receive_bytes=0):
        one = socket.socket()
        one.setblocking(False)
        if receive_bytes:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        try:
            loop = asyncio.get_running_loop()
            await asyncio.wait_for(loop.sock_connect(one, (ip, self.world.port)), 1.0)
            return await asyncio.open_connection(
                sock=one, limit=receive_bytes or 65536)
        except (OSError, asyncio.TimeoutError):
            one.close()
            return None

    async def send(self, ip, kind, connection, body=b"", body_delay=0.0, read_rate=0):
        """Sends one request; returns whether the connection can be used again."""
        self.number += 1
        request = f"{self.world.seed:x}-{self.number:x}"
        body = body or (request.encode() if kind == "order" else b"")
        method = "POST" if body else "GET"
        head = (f"{method} /{kind}/{request} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\n"
                f"X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {len(body)}\r\n\r\n").encode()
        reader, writer = connection
        self.answers[request] = (kind, None)
        sent = None
        answer, why = None, ""
        try:
            if body_delay:
                writer.write(head + body[:len(body) // 2])
                await asyncio.sleep(body_delay)
                writer.write(body[len(body) // 2:])
            else:
                writer.write(head + body)
            sent = time.monotonic()
            answer = await asyncio.wait_for(
                self.read(reader, read_rate), DEADLINE_MS / 1000 + PATIENCE_S)
            why = "closed before the answer" if answer is None else ""
        except asyncio.IncompleteReadError as failed:
            why = f"closed {len(failed.partial)} bytes into the answer's body"
        except asyncio.TimeoutError:
            why = "no answer"
        except OSError as failed:
            why = type(failed).__name__
        if self.world.args.plant == "lost" and answer and self.number % 20 == 0:
            answer, why = None, "closed"
        outcome = str(answer[0]) if answer else why.split(" ")[0]
        self.counts[(kind, outcome)] = self.counts.get((kind, outcome), 0) + 1
        if answer is None:
            if sent is not None:
                self.cut.append((request, ip, f"{kind} {why}", sent, time.monotonic()))
            writer.close()
            return False
        status, headers, content = answer
        self.answers[request] = (kind, status)
        if status == 200:
            self.check_answer(kind, request, headers, content)
        if headers.get("connection", "").lower() == "close":
            writer.close()
            return False
        return True

    @staticmethod
    async def read(reader, rate):
        head = await read_head(reader)
        if head is None:
            return None
        if not rate:
            return int(head[0][1]), head[1], await read_body(reader, head[1])
        length, content = int(head[1]["content-length"]), b""
        while len(content) < length:
            part = await reader.read(min(rate // 20, length - len(content)))
            if not part:
                raise asyncio.IncompleteReadError(content, length)
            content += part
            await asyncio.sleep(0.05)
        return int(head[0][1]), head[1], content

    async def keep(self, rng, ip, kinds, pause_s):
        """Uses a connection until it ends, then one to a host that does not leave."""
        while not self.done:
            connection = await self.connect(ip)
            while connection and not self.done:
                if not await self.send(ip, rng.choice(kinds), connection):
                    break
                await asyncio.sleep(rng.uniform(0, pause_s))
            await asyncio.sleep(0.05)
            ip = rng.choice([node.ip for node in self.world.nodes if not node.leaving] or [ip])

    async def begin(self, rng, ip, kinds, pause_s, **options):
        """Sends each request on a new connection, to a leaving host too."""
        while not self.done:
            connection = await self.connect(ip, options.get("receive_bytes", 0))
            if connection and await self.send(ip, rng.choice(kinds), connection,
                                              read_rate=options.get("read_rate", 0)):
                connection[1].close()
            await asyncio.sleep(rng.uniform(0, pause_s))

    async def send_in_parts(self, rng, ip, wait_s):
        """Sends the second half of a body later than the first."""
        await asyncio.sleep(rng.uniform(0, 2.4))
        connection = await self.connect(ip)
        if connection and await self.send(ip, rng.choice(["one", "order"]), connection,
                                          rng.randbytes(HALF_BODY_BYTES), wait_s):
            connection[1].close()

    def check_lost(self):
        for request, ip, why, sent, ended in self.cut:
            held = ended - sent - self.stalled(sent, ended) - self.world.paused(ip, sent, ended)
            if self.world.runs.get(request):
                self.world.report_violation("lost", f"{request} at {ip}: {why}, passed on")
            elif held > LOSS_SLACK_S:
                self.world.report_violation(
                    "lost", f"{request} at {ip}: {why}, had for {held:.3f} s")

    def check_once(self):
        super().check_once()
        for request, (kind, status) in self.answers.items():
            if status in (429, 503) and self.world.runs.get(request):
                self.world.report_violation("refused", f"{request} ({kind}) ran, got {status}")


class Scenario:
    """One stop: the traffic and the events during the stop."""

    kinds = ["one", "one", "order", "all", "lookup", "hang"]
    shard_zones = "ab"

    def __init__(self, world, callers):
        self.world, self.callers = world, callers
        # Apart from the leafs, whose use of their generator depends on the schedule.
        self.rng = random.Random(f"{world.seed}/events")
        self.target = world.nodes[0]
        self.tasks = []

    def run(self, call):
        self.tasks.append(asyncio.create_task(call))

    def start_callers(self):
        for number in range(14):
            rng = random.Random(f"{self.world.seed}/{number}")
            if number < 9:
                self.run(self.callers.keep(rng, self.target.ip, self.kinds, 0.05))
            else:
                self.run(self.callers.begin(rng, self.target.ip, self.kinds, 0.2))

    async def silence_shards(self):
        await asyncio.sleep(1.2)
        for leaf in self.world.leafs:
            if leaf.service in ("s0", "s1", "s2"):
                leaf.fault, leaf.share = "silent", 1.0

    async def play(self):
        self.start_callers()
        await asyncio.sleep(self.rng.uniform(0.7, 1.2))
        self.world.silence()
        await asyncio.sleep(self.rng.uniform(0.2, 0.6))
        self.world.terminate(self.target)
        await self.during()
        await self.world.await_end(self.target)
        self.callers.done = True
        await asyncio.gather(*self.tasks)

    async def wait(self, low, high):
        await asyncio.sleep(self.rng.uniform(low, high))

    async def during(self):
        pass


class PausedOverTheEnd(Scenario):
    kinds = ["one", "hang", "hang"]

    async def during(self):
        await asyncio.sleep(PAUSE_AFTER_S)
        await self.world.pause(self.target, self.target.terminated + RESUME_AFTER_S)


class PausedWhileItAnswers(PausedOverTheEnd):
    """The pause begins about the time at which the last requests are answered."""

    async def during(self):
        await self.wait(ANSWERS_DUE_S - 0.02, ANSWERS_DUE_S + 0.08)
        await self.world.pause(self.target, self.target.terminated + RESUME_AFTER_S)


class RegistrationLost(Scenario):
    async def during(self):
        for _ in range(3):
            await self.wait(0, 1)
            leaf = self.rng.choice(
                [one for one in self.world.leafs if one.service in ("one", "lookup", "hang")])
            self.world.store.delete(leaf.key)
            await self.wait(0, 0.5)
            if self.rng.random() < 0.5:
                self.world.store.put(leaf.key, leaf.entry())


class Paused(Scenario):
    async def during(self):
        await self.wait(0, 4.5)
        await self.world.pause(self.target, time.monotonic() + self.rng.uniform(1, 3))


class DelegateStops(Scenario):
    """All shards are in the zone of the host that stops, the callers ask the others. In
    some seeds so many shards are silent that queries wait beyond the stop."""

    kinds = ["all", "all", "all", "one"]
    shard_zones = "aa"

    def start_callers(self):
        if self.rng.random() < 0.5:
            self.run(self.silence_shards())
        asked = [node for node in self.world.nodes if node.zone != self.target.zone]
        for number in range(14):
            rng = random.Random(f"{self.world.seed}/{number}")
            call = self.callers.keep if number < 9 else self.callers.begin
            self.run(call(rng, asked[number % len(asked)].ip, self.kinds, 0.05))


class BothStop(DelegateStops):
    async def during(self):
        await self.wait(0, 1.5)
        for node in self.world.nodes:
            if node.zone != self.target.zone and not node.leaving:
                self.world.terminate(node)
        for node in self.world.nodes:
            if node.leaving and node is not self.target:
                await self.world.await_end(node)


class StoreDown(Scenario):
    async def during(self):
        await self.wait(0, 2)
        self.world.store.mode = self.rng.choice(["silent", "reset", "busy"])
        await self.wait(1, 4)
        self.world.store.mode = self.rng.choice(["up", self.world.store.mode])


class SecondSignal(Scenario):
    async def during(self):
        for _ in range(self.rng.randint(1, 3)):
            await self.wait(0.01, 1.7)
            self.target.signal(self.rng.choice([signal.SIGTERM, signal.SIGINT]))


class Reloaded(Scenario):
    async def during(self):
        for _ in range(2):
            await self.wait(0, 2)
            settings = self.target.settings(False)
            settings["bounds"]["graceS"] = self.rng.choice([2, GRACE_S, 12])
            self.target.file.write_text(json.dumps(settings))
            self.target.signal(signal.SIGHUP)


class SlowReaders(Scenario):
    def start_callers(self):
        super().start_callers()
        for number in range(5):
            self.run(self.callers.begin(
                random.Random(f"{self.world.seed}/slow/{number}"), self.target.ip, ["big"], 0.5,
                receive_bytes=8192, read_rate=self.rng.choice([200_000, 300_000, 500_000])))


class HalfRead(Scenario):
    async def during(self):
        for number in range(30):
            rng = random.Random(f"{self.world.seed}/half/{number}")
            self.run(self.callers.send_in_parts(rng, self.target.ip, rng.uniform(0.1, 6)))


SCENARIOS = {
    "paused_over_the_end": PausedOverTheEnd, "paused_while_it_answers": PausedWhileItAnswers,
    "registration_lost": RegistrationLost, "paused": Paused,
    "delegate_stops": DelegateStops, "both_stop": BothStop, "store_down": StoreDown,
    "second_signal": SecondSignal, "reloaded": Reloaded,
    "slow_readers": SlowReaders, "half_read": HalfRead}


async def play(args, name, seed, index):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="basilpath-stops-"))
    world = StopWorld(args, name, seed, folder, index)
    await world.build()
    callers = StopCallers(world)
    await callers.await_ready()
    stalls = asyncio.create_task(callers.measure_stalls())
    await SCENARIOS[name](world, callers).play()
    stalls.cancel()
    await world.stop()
    callers.check_once()
    callers.check_lost()
    if not world.violations and not args.keep_logs:
        shutil.rmtree(folder)
    counts = {}
    for (_, outcome), count in callers.counts.items():
        counts[outcome] = counts.get(outcome, 0) + count
    print(f"{name} seed {seed}: {'BROKEN' if world.violations else 'ok'}; {counts}; ended after "
          f"{', '.join(f'{took:.2f}' for took in world.ends)} s"
          f"{f'; logs {folder}' if world.violations or args.keep_logs else ''}", flush=True)
    return not world.violations


async def play_all(args):
    names = args.scenarios.split(",") if args.scenarios else list(SCENARIOS)
    left = asyncio.Semaphore(args.parallel)

    async def one(name, seed, index):
        async with left:
            return name, await play(args, name, seed, index)

    plays = [(name, seed) for seed in range(args.seed, args.seed + args.seeds) for name in names]
    return await asyncio.gather(*(one(name, seed, index)
                                  for index, (name, seed) in enumerate(plays)))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program", help="path of basilpath-node")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of consecutive seeds to run")
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--memory-mb", type=float, default=260.0,
                        help="memory that the settings allow a host")
    parser.add_argument("--scenarios", help="comma-separated names; default all")
    parser.add_argument("--parallel", type=int, default=PARALLEL)
    parser.add_argument("--time", action="store_true",
                        help="also verify that each process ends within the time of its stop")
    parser.add_argument("--keep-logs", action="store_true")
    parser.add_argument("--plant", choices=["lost"], help="inject a violation; the run must fail")
    args = parser.parse_args()
    args.program = str(pathlib.Path(args.program).resolve())
    results = asyncio.run(play_all(args))
    for name in dict.fromkeys(name for name, _ in results):
        verdicts = [good for one, good in results if one == name]
        print(f"{name}: {verdicts.count(True)} held, {verdicts.count(False)} broken")
    if args.plant:
        caught = not any(good for _, good in results)
        print(f"planted {args.plant}: {'caught' if caught else 'MISSED'}")
        return 0 if caught else 1
    return 0 if all(good for _, good in results) else 1


if __name__ == "__main__":
    sys.exit(main())
