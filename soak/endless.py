#!/usr/bin/env python3
"""Leafs and callers that make a host hold bytes, against hosts with a limit of memory.

Runs two hosts as separate processes beside the stand-ins of the soak test. Faulty
leafs send without end to many callers, or faulty callers do not read their answers or
do not complete their requests; good callers send requests beside them. Samples the
peak of the resident memory of each host (VmHWM). Exits with 1 when a host exceeds its
`memoryMb` or ends, or has no room for an answer of a good caller.
"""

import argparse
import asyncio
import pathlib
import random
import shutil
import socket
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from callers import Callers  # noqa: E402
from platform_standin import Leaf, Store, reply  # noqa: E402
from soak import Node, World  # noqa: E402

HOSTS = 2
FAULTY_LEAFS = 6
GOOD_LEAFS = 4
CONNECTIONS = 110
DEADLINE_MS = 6000
GOOD_DEADLINE_MS = 1500
# Time between two writes of a faulty leaf.
STEP_S = 0.1
FAST_STEP_BYTES = 64_000
SAMPLE_S = 0.1
READY_S = 20.0
# Callers begin spread over this time.
BEGIN_S = 0.5
PAUSE_S = 0.05
ANSWER_BYTES = 64
MEGABYTE = 1_000_000

CHUNK = "3e8\r\n" + "x" * 0x3e8 + "\r\n"
# The beginning of an answer that does not end, and the bytes that follow.
KINDS = {
    "chunked": ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", CHUNK),
    "no-length": ("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x"),
    "length": ("HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", "x"),
    "header": ("HTTP/1.1 200 OK\r\nX-Long: ", "x"),
    "continue": ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    "health": ("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x"),
}

# What faulty callers do on their connections.
CALLER_KINDS = ["unread", "body", "pipeline"]
# Requests of a caller that does not read: the kernel holds the first answers.
UNREAD_REQUESTS = 4
LARGE_BYTES = 1_900_000
MEDIUM_BYTES = 100_000
RECEIVE_BUFFER_BYTES = 4096
READ_AHEAD_BYTES = 60_000
MAX_BODY_BYTES = 262_144


class EndlessLeaf(Leaf):
    """Answers requests, or health checks, without end."""

    async def answer(self, first, headers, body, writer):
        is_check = first[1] == "/health"
        if self.world.args.kind == "pipeline" and not is_check:
            await asyncio.sleep(DEADLINE_MS / 1000)
        if self.world.args.kind in CALLER_KINDS:
            return await super().answer(first, headers, body, writer)
        if is_check == (self.world.args.kind == "health"):
            await self.send(writer)
            return False
        if self.world.args.kind == "health":
            # A host checks the health of a leaf whose calls break off.
            writer.transport.abort()
            return False
        if is_check:
            writer.write(reply(200, b"", [("X-Instance-Id", self.id), *self.state_headers()]))
            return True
        return await super().answer(first, headers, body, writer)

    def entry(self, state="ready"):
        return super().entry(state) | {"slots": CONNECTIONS}

    async def send(self, writer):
        """Sends until the connection ends; after `--most` bytes it only keeps it open."""
        args, world = self.world.args, self.world
        world.endless_calls += 1
        start, unit = KINDS[args.kind]
        step = FAST_STEP_BYTES if args.fast else int(args.rate * STEP_S)
        bytes_of_step = (unit * (step // len(unit) + 1)).encode()
        writer.write(start.encode())
        sent = 0
        while not writer.is_closing():
            if args.most is None or sent < args.most:
                writer.write(bytes_of_step)
                sent += len(bytes_of_step)
                world.endless_bytes += len(bytes_of_step)
                await writer.drain()
            await asyncio.sleep(0 if args.fast and args.most is None else STEP_S)


class BoundedNode(Node):
    """A host whose settings name its memory."""

    peak = 0

    def settings(self, first):
        settings = super().settings(first)
        settings["limits"]["memoryMb"] = self.world.args.memory_mb
        return settings

    def sample(self):
        """Updates the peak of the resident memory, in bytes."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                self.peak = max(self.peak, int(line.split()[1]) * 1024)


class EndlessWorld(World):
    """Two hosts, good leafs, and faulty leafs of one or more services."""

    def __init__(self, args, seed, folder):
        super().__init__(args, seed, folder)
        self.endless_calls = self.endless_bytes = 0
        self.statuses = {"good": {}, "faulty": {}}
        self.faulty = [f"faulty-{n}" for n in range(args.services)]

    def report_violation(self, promise, what):
        """The time that a stop takes is the matter of the soak test: printed only."""
        if promise == "stop":
            print(f"  not judged: {promise}: {what}", flush=True)
            return
        super().report_violation(promise, what)

    def records(self, request, service):
        if service == "good":
            return b"g" * ANSWER_BYTES
        return b"g" * (MEDIUM_BYTES if request.startswith("good") else LARGE_BYTES)

    def put_configuration(self):
        services = self.faulty + ["good"]
        self.store.put("op/config", {
            "version": 1,
            "routes": [{"name": one, "host": "h", "prefix": f"/{one}/", "type": "idempotent",
                        "timeoutMs": DEADLINE_MS, "attempts": 2, "priority": 1,
                        "targetLatencyMs": 200, "backend": one} for one in services],
            "backends": [{"name": one, "healthCheck": "/health", "maxConns": CONNECTIONS}
                         for one in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY_BYTES, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}})

    async def add(self, kind, service, number):
        leaf = kind(self, service, f"127.{self.net}.2.{number + 1}", "ab"[number % 2], self.rng)
        leaf.slots = asyncio.Semaphore(CONNECTIONS)
        await leaf.start()
        self.leafs.append(leaf)
        self.store.put(leaf.key, leaf.entry())

    async def build(self):
        await self.store.start()
        for number in range(GOOD_LEAFS):
            await self.add(Leaf, "good", number)
        for number in range(FAULTY_LEAFS):
            service = self.faulty[number % len(self.faulty)]
            await self.add(EndlessLeaf, service, GOOD_LEAFS + number)
        self.put_configuration()
        self.nodes = [BoundedNode(self, number) for number in range(HOSTS)]
        for node in self.nodes:
            await node.proxy.start()
        for node in self.nodes:
            await node.start(first=True)

    def check_fault(self):
        """A run without an answer that does not end shows nothing."""
        if not self.endless_bytes and self.args.kind not in CALLER_KINDS:
            self.report_violation("fault", "no faulty leaf was asked")

    def check_memory(self):
        for node in self.nodes:
            if node.peak > self.args.memory_mb * MEGABYTE:
                self.report_violation(
                    "memory", f"{node.ip} held {node.peak / MEGABYTE:.0f} MB of "
                    f"{self.args.memory_mb} MB")

    def check_room(self):
        """The answers of good callers are never those for which there is no room."""
        refused = set()
        for path in sorted(self.folder.glob("node-*.log")):
            with open(path, errors="replace") as lines:
                refused |= {line.split(" request=")[1].split(" ")[0] for line in lines
                            if " event=answer_exceeds_memory request=good-" in line}
        if refused:
            self.report_violation("room", f"none for answers to {len(refused)} good requests")

    async def sample(self):
        while True:
            for node in self.nodes:
                node.sample()
            await asyncio.sleep(SAMPLE_S)


async def send(world, callers, ip, service, number, deadline_ms, pool):
    lines = [f"GET /{service}/{number} HTTP/1.1", "Host: h", f"X-Request-Id: {number}",
             f"X-Deadline-Ms: {deadline_ms}"]
    answer, why = await callers.call(ip, world.port, lines, b"", pool, deadline_ms / 1000 + 1.5)
    return str(answer[0]) if answer else why


async def await_ready(world, callers):
    """Returns when each host serves a good request."""
    until = time.monotonic() + READY_S
    for node in world.nodes:
        while await send(world, callers, node.ip, "good", f"ready-{node.ip}",
                         GOOD_DEADLINE_MS, None) != "200":
            if time.monotonic() > until:
                world.report_violation("start", f"{node.ip} served nothing for {READY_S} s")
                return
            await asyncio.sleep(0.1)


async def run_caller(world, callers, group, number, until):
    rng = random.Random(f"{world.seed}/{group}/{number}")
    node, pool = world.nodes[number % HOSTS], {}
    deadline_ms = DEADLINE_MS if group == "faulty" else GOOD_DEADLINE_MS
    await asyncio.sleep(rng.uniform(0, BEGIN_S))
    count = 0
    while time.monotonic() < until:
        count += 1
        # Beside answers that are not read, good callers ask the same leafs.
        uses_faulty = group == "faulty" or world.args.kind == "unread"
        service = rng.choice(world.faulty) if uses_faulty else "good"
        outcome = await send(world, callers, node.ip, service, f"{group}-{number}-{count}",
                             deadline_ms, pool)
        world.statuses[group][outcome] = world.statuses[group].get(outcome, 0) + 1
        await asyncio.sleep(rng.uniform(0, 2 * PAUSE_S))


def request_bytes(kind, service, number):
    """What a faulty caller sends on a connection."""
    head = (f"GET /{service}/{number} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {number}\r\n"
            f"X-Deadline-Ms: {DEADLINE_MS}\r\n")
    if kind == "body":
        return f"{head}Content-Length: {MAX_BODY_BYTES}\r\n\r\n" + "x" * (MAX_BODY_BYTES - 1)
    if kind == "pipeline":
        return f"{head}\r\n{head}Content-Length: {READ_AHEAD_BYTES}\r\n\r\n" + "x" * (
            READ_AHEAD_BYTES - 1)
    return f"{head}\r\n" * UNREAD_REQUESTS


async def run_faulty_caller(world, number, until):
    """Keeps one connection at a time; reads only what tells that the host has closed it."""
    rng = random.Random(f"{world.seed}/stuck/{number}")
    loop = asyncio.get_running_loop()
    node, kind, count = world.nodes[number % HOSTS], world.args.kind, 0
    await asyncio.sleep(rng.uniform(0, BEGIN_S))
    while time.monotonic() < until:
        count += 1
        with socket.socket() as connection:
            connection.setblocking(False)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            try:
                await loop.sock_connect(connection, (node.ip, world.port))
                data = request_bytes(kind, rng.choice(world.faulty), f"stuck-{number}-{count}")
                await loop.sock_sendall(connection, data.encode())
                while kind != "unread" and await asyncio.wait_for(
                        loop.sock_recv(connection, 4096), max(0.0, until - time.monotonic())):
                    pass
                outcome = "closed"
                if kind == "unread":
                    await asyncio.sleep(max(0.0, until - time.monotonic()))
                    outcome = "kept"
            except asyncio.TimeoutError:
                outcome = "kept"
            except OSError as error:
                outcome = type(error).__name__
        world.statuses["faulty"][outcome] = world.statuses["faulty"].get(outcome, 0) + 1


async def run_all(world, args):
    """Starts the environment and runs all callers."""
    await world.build()
    callers = Callers(world)
    sampling = asyncio.create_task(world.sample())
    await await_ready(world, callers)
    until = time.monotonic() + args.seconds
    faulty = [run_faulty_caller(world, number, until) if args.kind in CALLER_KINDS
              else run_caller(world, callers, "faulty", number, until)
              for number in range(args.callers)]
    good = [run_caller(world, callers, "good", number, until)
            for number in range(args.good_callers)]
    await asyncio.gather(*faulty, *good)
    sampling.cancel()
    for node in world.nodes:
        node.sample()


async def play(args):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="basilpath-endless-"))
    world = EndlessWorld(args, args.seed, folder)
    try:
        await run_all(world, args)
    finally:
        await world.stop()
    world.check_fault()
    world.check_memory()
    world.check_room()
    peaks = ", ".join(f"{node.peak / MEGABYTE:.0f}" for node in world.nodes)
    print(f"{args.kind}{' fast' if args.fast else ''}, {args.services} services, seed "
          f"{args.seed}: {'BROKEN' if world.violations else 'ok'}; peak of the hosts {peaks} MB "
          f"of {args.memory_mb}; endless {world.endless_calls} calls, "
          f"{world.endless_bytes / MEGABYTE:.0f} MB; good {world.statuses['good']}; "
          f"faulty {world.statuses['faulty']}", flush=True)
    if world.violations:
        print(f"  logs: {folder}", flush=True)
    else:
        shutil.rmtree(folder)
    return not world.violations


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program", help="path of basilpath-node")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--kind", choices=[*KINDS, *CALLER_KINDS], default="chunked")
    parser.add_argument("--fast", action="store_true", help="send as fast as the host reads")
    parser.add_argument("--rate", type=float, default=450_000, help="bytes a second of an answer")
    parser.add_argument("--most", type=int, help="bytes after which an answer is only kept open")
    parser.add_argument("--services", type=int, default=1, help="services of the faulty leafs")
    parser.add_argument("--callers", type=int, default=400)
    parser.add_argument("--good-callers", type=int, default=24)
    parser.add_argument("--memory-mb", type=int, default=260)
    args = parser.parse_args()
    args.program = str(pathlib.Path(args.program).resolve())
    args.plant = None
    return 0 if asyncio.run(play(args)) else 1


if __name__ == "__main__":
    sys.exit(main())
