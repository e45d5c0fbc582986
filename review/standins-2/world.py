"""Stand-ins for the platform of a small deployment, on loopback addresses.

The store, the leafs and the clients speak what PROTOCOL.md says; the hosts are
the program of deploy/system.toml, started with its command. One asyncio loop
runs all stand-ins, so that their times compare.
"""

import asyncio
import base64
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
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
RUN = ["target/bin/basilpath-node", "--metrics_port=9464"]
METRICS_PORT = 9464
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4,
          "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
          "rollbackSlackMs": 250, "maxSkewMs": 12000, "retryBudgetRatio": 0.2,
          "budgetWindowS": 10, "budgetSlack": 56, "recoveryS": 12, "ttl_max_s": 5}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
          "idleTimeoutMs": 15000}
HOST = "pupu76.example"
PAGE_ITEMS = 400


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


async def read_head(reader):
    """Returns the first line and the headers, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def message(first, headers=(), body=b""):
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# The answer of a leaf that sheds a request, as `fleetbench wire` prints it.
SHED = message("HTTP/1.1 503 Service Unavailable", [("X-Not-Executed", "1")])


class Server:
    """Serves one address; a connection carries one request at a time."""

    def __init__(self, host):
        self.host, self.port = host, 0
        self.server, self.writers = None, []

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self._connected, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connected(self, reader, writer):
        self.writers.append(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = b""
                if "content-length" in head[1]:
                    body = await reader.readexactly(int(head[1]["content-length"]))
                if not await self.handle(head[0], head[1], body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.remove(writer)
            writer.close()

    async def handle(self, first, headers, body, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store: linearizable, with one revision counter."""

    def __init__(self, world, host):
        super().__init__(host)
        self.world = world
        self.items, self.events = {}, []
        self.revision = 100
        self.changed = asyncio.Event()

    def put(self, key, value):
        """Writes an item; the return is the acknowledgement."""
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        made = self.items[key]["createRevision"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(data).decode(),
                           "revision": self.revision, "createRevision": made, "lease": 0}
        self._note(dict(self.items[key]))
        return time.monotonic()

    def delete(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self._note({"key": key, "revision": self.revision, "deleted": True})
        return time.monotonic()

    def _note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, first, headers, body, reader, writer):
        path, _, query = first.split(" ")[1].partition("?")
        asked = {name: values[0] for name, values in
                 urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        await asyncio.sleep(0.004)
        prefix = asked.get("prefix", "")
        if path == "/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(prefix) and key > asked.get("after", ""))
            answer = {"items": [self.items[key] for key in keys[:PAGE_ITEMS]],
                      "hasMore": len(keys) > PAGE_ITEMS}
        elif path == "/kv-watch":
            after, wait = int(asked["after"]), int(asked["waitMs"]) / 1000
            until = time.monotonic() + wait
            while True:
                events = [one for one in self.events
                          if one["revision"] > after and one["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            answer = {"events": events}
        elif path == "/kv-key" and asked.get("key") in self.items:
            answer = dict(self.items[asked["key"]])
        else:
            writer.write(message("HTTP/1.1 404 Not Found"))
            return True
        answer["currentRev"] = self.revision
        writer.write(message("HTTP/1.1 200 OK", [("Content-Type", "application/json")],
                             json.dumps(answer).encode()))
        return True


class Leaf(Server):
    """A sound leaf: `slots` requests at a time, a short queue, and a load header."""

    QUEUE = 12

    def __init__(self, world, service, host, zone, slots, work_s):
        super().__init__(host)
        self.world, self.service, self.zone = world, service, zone
        self.slots, self.work_s = slots, work_s
        self.id = f"i-{world.rng.getrandbits(32):08x}"
        self.free = asyncio.Semaphore(slots)
        self.running = self.waiting = 0
        self.state, self.drained_at = "ready", None
        self.arrivals = []
        self.born = int(time.time() * 1000)

    @property
    def key(self):
        return f"servers/{self.id}"

    def entry(self):
        return {"backend": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": 0,
                "seq": 1, "born": self.born}

    def register(self):
        return self.world.store.put(self.key, self.entry())

    def drain(self):
        """Reports `draining`; the store's acknowledgement counts."""
        self.state = "draining"
        self.drained_at = self.register()
        self.world.record(f"leaf {self.id} draining, acknowledged")

    def load(self):
        return ("X-Server-Load", f"{self.running},{self.waiting},{self.slots},100")

    def signature(self, request):
        return f"{self.id}.{request}"

    async def handle(self, first, headers, body, reader, writer):
        method, target, _ = first.split(" ")
        if target == "/health":
            good = self.state == "ready"
            writer.write(message("HTTP/1.1 200 OK" if good else "HTTP/1.1 503 Unavailable",
                                 [("X-Instance-Id", self.id), self.load()]))
            return True
        request = headers.get("x-request-id", "")
        if headers.get("x-target-instance", self.id) != self.id:
            writer.write(message("HTTP/1.1 421 Misdirected Request",
                                 [("X-Instance-Id", self.id)]))
            return True
        self.arrivals.append((time.monotonic(), request))
        return await self.serve(method, target, headers, request, body, reader, writer)

    async def shed(self, writer):
        writer.write(SHED)

    async def serve(self, method, target, headers, request, body, reader, writer):
        if self.running >= self.slots and self.waiting >= self.QUEUE:
            await self.shed(writer)
            return True
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.world.note_run(self, request, method, target, body)
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
        await self.answer(request, writer)
        return True

    def content(self, request):
        return f"{self.id} answers {request}".encode()

    def success(self, request):
        return message("HTTP/1.1 200 OK",
                       [("X-Request-Id", request),
                        ("X-Response-Signature", self.signature(request)),
                        ("Keep-Alive", "timeout=10"), self.load()],
                       self.content(request))

    async def answer(self, request, writer):
        writer.write(self.success(request))


class Node:
    """One host: the deployed program with its settings file."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.ip = f"127.{world.net}.{number + 1}"
        self.zone = world.zones[number % len(world.zones)]
        self.process = None
        self.log = world.folder / f"node-{number}.log"
        self.file = world.folder / f"node-{number}.json"

    def at(self, offset):
        return f"{self.ip}:{self.world.port + offset}"

    @property
    def front(self):
        return self.at(0)

    def settings(self, first):
        world = self.world
        return {
            "nodeName": f"edge-{self.zone}-{self.number}", "role": "node",
            "machineClass": "edge", "serves": ["edge", "control_plane", "directory"],
            "ip": self.ip, "zone": self.zone, "region": "west-lk",
            "zones": {zone: "west-lk" for zone in world.zones},
            "bindAddrs": {"front": self.at(0), "ready": self.at(1), "control": self.at(2),
                          "directory": self.at(3)},
            "portRange": [world.port + 4, world.port + 9],
            "seeds": [node.at(2) for node in world.nodes[:3]], "bootstrap": first,
            "lossCounts": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "directory",
            "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "scatter",
                          "platform"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": world.store.address, "form": "read", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576,
                         "ttlMinMs": 1000}}

    async def start(self, first=False):
        self.file.write_text(json.dumps(self.settings(first)))
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *RUN, cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
                env={"BASILPATH_NODE_FILE": str(self.file),
                     "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                     "HOME": os.environ.get("HOME", "/"), "LANG": "C.UTF-8"})

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def ready(self):
        answer = await ask(self.at(1), "GET", "/ready", {"Host": self.at(1)}, timeout=0.5)
        return answer is not None and answer[0] == 200


class World:
    """The deployment of one case and what was seen of it."""

    def __init__(self, case, seed=1, zones=("west-lk-a", "west-lk-b")):
        self.case = pathlib.Path(case).resolve().parent
        self.rng = random.Random(seed)
        self.zones = zones
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="basilpath-review-"))
        self.net, self.port = self._free_addresses()
        self.store = Store(self, f"127.{self.net}.250")
        self.leafs, self.nodes = [], []
        self.runs, self.sent = {}, {}
        self.started = time.monotonic()
        self.lines = []
        self.next_leaf = 0

    @staticmethod
    def _free_addresses():
        """A loopback network, and ports below the ephemeral range that are free in it."""
        for _ in range(100):
            net = f"{random.randrange(64, 200)}.{random.randrange(1, 255)}"
            port = random.randrange(10_000, 30_000)
            try:
                for one in (METRICS_PORT, *range(port, port + 10)):
                    with socket.socket() as probe:
                        probe.bind((f"127.{net}.1", one))
                return net, port
            except OSError:
                continue
        raise OSError("no free ports")

    def record(self, text):
        self.lines.append(f"{time.monotonic() - self.started:8.3f} {text}")

    def note_run(self, leaf, request, method, target, body):
        self.runs.setdefault(request, []).append((time.monotonic(), leaf, method, target, body))

    async def add_leaf(self, service, zone, slots=3, work_s=0.09, kind=Leaf):
        self.next_leaf += 1
        leaf = kind(self, service, f"127.{self.net}.{100 + self.next_leaf}", zone, slots, work_s)
        await leaf.start()
        leaf.register()
        self.leafs.append(leaf)
        return leaf

    def put_config(self, version, routes, services, limits=None):
        names = [dict({"name": name, "healthCheck": "/health", "maxConns": 110,
                       "protocol": "h1", "tls": False}, **extra)
                 for name, extra in services.items()]
        acknowledged = self.store.put("op/config", {
            "version": version, "routes": routes, "backends": names,
            "limits": limits or LIMITS})
        self.record(f"configuration {version} acknowledged")
        return acknowledged

    async def start_nodes(self, count):
        self.nodes = [Node(self, number) for number in range(count)]
        for node in self.nodes:
            await node.start(first=True)
        until = time.monotonic() + 20
        while time.monotonic() < until:
            if all([await node.ready() for node in self.nodes]):
                # Machines are in touch from contactMs after their start.
                await asyncio.sleep(BOUNDS["contactMs"] / 1000 + 1)
                self.record("all hosts are ready and in touch")
                return
            await asyncio.sleep(0.1)
        for node in self.nodes:
            self.record(f"{node.ip}: {node.log.read_text(errors='replace')[-2000:]}")
        raise RuntimeError("the hosts did not become ready")

    async def stop(self):
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process:
                await node.process.wait()
        for leaf in self.leafs:
            await leaf.stop()
        await self.store.stop()

    def finish(self, verdict):
        (self.case / "record.txt").write_text("\n".join(self.lines + [verdict]) + "\n")
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, **fields):
    return dict({"name": name, "host": HOST, "prefix": prefix, "type": kind, "timeoutMs": 6000,
                 "targetLatencyMs": 400, "priority": 2, "attempts": 2}, **fields)


async def read_answer(reader):
    """Reads one answer: its status, headers and body; None when it is not whole."""
    head = await read_head(reader)
    if head is None:
        return None
    status = int(head[0].split(" ")[1])
    try:
        body = await reader.readexactly(int(head[1].get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return status, head[1], body


async def ask(address, method, target, headers, body=b"", timeout=6.0):
    """Sends one request on a connection of its own. None: no whole answer."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(message(f"{method} {target} HTTP/1.1", headers.items(), body))
            return await read_answer(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer:
            writer.close()


def main(case, run, limit_s=110):
    """Runs a case: `run(world)` returns whether the rule was broken, and why."""
    if not (ROOT / RUN[0]).exists():
        print("not run: build the program with the command of deploy/system.toml")
        return 2
    world = World(case)

    async def play():
        try:
            async with asyncio.timeout(limit_s):
                await world.store.start()
                return await run(world)
        finally:
            await world.stop()

    try:
        broken, why = asyncio.run(play())
    except Exception as failure:  # noqa: BLE001: any failure of the stand-ins
        world.finish(f"not run: {failure!r}")
        print(f"not run: {failure!r}")
        return 2
    verdict = f"{'broken' if broken else 'held'}: {why}"
    world.finish(verdict)
    print(verdict)
    return 1 if broken else 0
