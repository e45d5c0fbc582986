"""Stand-ins of the platform's store, the leafs and the clients, and the start of
basilpath-node as the deploy file says.

Everything runs in one asyncio loop on loopback addresses. What was sent,
answered and run goes to the record of the case.
"""

import asyncio
import base64
import collections
import hashlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs

ROOT = pathlib.Path(__file__).resolve().parents[2]

# The bounds of kit/more/system/sites/rph-basilpath.toml.
CONTACT_S = 4.0
DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0
MAX_SKEW_S = 12.0
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """The file that lists what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def say(self, text):
        self.line(text)
        print(text, flush=True)

    def close(self):
        self.file.close()


async def read_head(reader):
    """Returns the words of the first line and the headers; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


def reply(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Serves connections at one loopback address."""

    def __init__(self, host, port=0):
        self.host, self.port = host, port
        self.server = None
        self.writers = set()
        self.tasks = set()

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
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                length = int(head[1].get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                if not await self.handle(head[0], head[1], body, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: items under one revision counter, and watches."""

    def __init__(self, host):
        super().__init__(host)
        self.items, self.log = {}, []
        self.revision = 100
        self.era = 1
        self.away = False
        self.changed = asyncio.Event()
        self.calls = collections.Counter()

    def put(self, key, value):
        self.revision += 1
        self.items[key] = (json.dumps(value).encode(), self.revision)
        self._note(self._item(key))
        return self.revision

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def copy(self):
        """A backup of the store as it is now."""
        return dict(self.items), list(self.log), self.revision

    def restore(self, backup):
        """Comes back from a backup: revisions go back and are given out again."""
        items, log, self.revision = backup
        self.items, self.log = dict(items), list(log)
        self.era += 1
        self._wake()

    def go_away(self):
        """The store does not answer, and its connections break."""
        self.away = True
        for writer in list(self.writers):
            writer.transport.abort()

    def come_back(self):
        self.away = False
        self._wake()

    def _note(self, event):
        self.log.append(event)
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _item(self, key):
        value, revision = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "createRevision": revision, "lease": 0}

    def _answer(self, status, body=None):
        content = b"" if body is None else json.dumps(body).encode()
        return reply(status, content, [("Store-Era", self.era),
                                       ("Content-Type", "application/json")])

    async def handle(self, first, headers, body, writer):
        if self.away:
            writer.transport.abort()
            return False
        path, _, query = first[1].partition("?")
        given = {key: values[0] for key, values in
                 parse_qs(query, keep_blank_values=True).items()}
        self.calls[path] += 1
        prefix = given.get("prefix", "")
        if path == "/kv-range":
            after = given.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = keys[:500]
            answer = {"items": [self._item(key) for key in page], "hasMore": len(keys) > 500,
                      "currentRev": self.revision}
        elif path == "/kv-key":
            if given.get("key") not in self.items:
                writer.write(self._answer(404))
                return True
            answer = {**self._item(given["key"]), "currentRev": self.revision}
        elif path == "/kv-watch":
            after, wait = int(given["after"]), int(given["waitMs"]) / 1000
            if after > self.revision:
                # The store does not have this revision.
                writer.write(self._answer(410))
                return True
            era, ends = self.era, time.monotonic() + wait
            events = []
            while True:
                events = [one for one in self.log
                          if one["revision"] > after and one["key"].startswith(prefix)]
                left = ends - time.monotonic()
                if events or left <= 0 or self.away or era != self.era:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            if self.away or era != self.era:
                writer.transport.abort()
                return False
            answer = {"events": events, "currentRev": self.revision}
        else:
            writer.write(self._answer(404))
            return True
        writer.write(self._answer(200, answer))
        return True


class StoreDoor(Server):
    """The store as one node reaches it; it can turn this node away."""

    def __init__(self, host, store):
        super().__init__(host)
        self.store = store
        self.turned_away = False
        self.calls = collections.Counter()

    def turn_away(self):
        """The store answers this node 429 from now on, and cuts its watches."""
        self.turned_away = True
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle(self, first, headers, body, writer):
        self.calls[first[1].partition("?")[0]] += 1
        if self.turned_away:
            writer.write(reply(429))
            return True
        return await self.store.handle(first, headers, body, writer)


class Leaf(Server):
    """One leaf: registers in the store, runs requests and records them."""

    def __init__(self, world, service, zone, host, slots=4, work_s=0.005):
        super().__init__(host)
        self.world, self.service, self.zone = world, service, zone
        self.id = f"i-{random.getrandbits(32):08x}"
        self.slots, self.work_s = slots, work_s
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.running = 0
        self.registered = True
        self.beat = None
        self.free = asyncio.Semaphore(slots)

    @property
    def key(self):
        return f"servers/{self.id}"

    def write_entry(self):
        if self.world.store.away or not self.registered:
            return False
        self.seq += 1
        self.world.store.put(self.key, {
            "backend": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": 0,
            "seq": self.seq, "born": self.born})
        return True

    async def start(self):
        await super().start()
        self.write_entry()
        self.beat = asyncio.create_task(self._beat())

    async def _beat(self):
        await asyncio.sleep(random.uniform(0, HEARTBEAT_S))
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def stop(self):
        if self.beat:
            self.beat.cancel()
        await super().stop()

    def common_headers(self):
        """Headers that the leaf adds to all its answers."""
        return [("X-Server-Load", f"{self.running},0,{self.slots},100")]

    def signature(self, request):
        digest = hashlib.sha256(f"{request}/{self.id}".encode()).hexdigest()
        return f"{digest[:4]}.{digest[4:16]}"

    def arrived(self, request, first, headers):
        """Called when a request that names this leaf has arrived."""

    async def run(self, request, first, headers, body, writer):
        """Runs a request; returns whether the connection stays open."""
        self.world.note_run(request, self, first, body)
        self.running += 1
        try:
            async with self.free:
                await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        writer.write(self.answer(request))
        return True

    def answer(self, request, status=200, body=None):
        content = f"{self.service} {request}".encode() if body is None else body
        return reply(status, content, [("X-Request-Id", request),
                                       ("X-Response-Signature", self.signature(request)),
                                       *self.common_headers()])

    async def handle(self, first, headers, body, writer):
        if first[1] == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(reply(status, b"", [("X-Instance-Id", self.id),
                                             *self.common_headers()]))
            return True
        request = headers.get("x-request-id", "")
        if headers.get("x-target-instance") != self.id:
            writer.write(reply(421, b"", [("X-Request-Id", request)]))
            return True
        self.arrived(request, first, headers)
        return await self.run(request, first, headers, body, writer)


class Node:
    """One process of basilpath-node, started as the deploy file says."""

    def __init__(self, world, number, zone):
        self.world, self.number, self.zone = world, number, zone
        self.ip = f"127.{world.net}.1.{number + 1}"
        self.process = None
        self.door = None
        self.file = world.folder / f"node-{number}.json"
        self.log_path = world.folder / f"node-{number}.log"

    def settings(self, first):
        world = self.world
        names = ["front", "ready", "control", "directory"]
        bind = {name: f"{self.ip}:{world.port + at}" for at, name in enumerate(names)}
        return {
            "nodeName": f"edge-{self.number}", "role": "node", "machineClass": "edge",
            "serves": ["edge", "control_plane", "directory"], "ip": self.ip, "zone": self.zone,
            "region": "r1", "zones": {zone: "r1" for zone in world.zones},
            "bindAddrs": bind, "portRange": [world.port + 10, world.port + 19],
            "seeds": [f"{one.ip}:{world.port + 2}" for one in world.nodes[:3]],
            "bootstrap": first, "lossCounts": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "directory",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "scatter",
                          "platform"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": int(CONTACT_S * 1000),
                       "ackMs": 5000, "catchUpS": 4, "drainMs": int(DRAIN_S * 1000),
                       "graceS": 6, "lossSlackMs": 200,
                       "configApplyMs": int(CONFIG_APPLY_S * 1000), "rollbackSlackMs": 250,
                       "maxSkewMs": int(MAX_SKEW_S * 1000), "retryBudgetRatio": 0.2,
                       "budgetWindowS": 10, "budgetSlack": 56, "recoveryS": 12, "ttl_max_s": 5},
            "platform": {"address": (self.door or world.store).address, "form": "read", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576,
                         "ttlMinMs": 1000}}

    async def start(self, first=True):
        self.file.write_text(json.dumps(self.settings(first)))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["BASILPATH_NODE_FILE"] = str(self.file)
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.world.command, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log)
        self.world.record.line(f"node {self.number} started at {self.ip}")

    @property
    def running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.running:
            self.process.send_signal(number)
            self.world.record.line(f"node {self.number} gets signal {number}")


class Answer:
    """What a client saw of one request."""

    def __init__(self, request, node, sent):
        self.request, self.node, self.sent = request, node, sent
        self.status, self.headers, self.body, self.why = None, {}, b"", ""
        self.ended = sent


class World:
    """The deployment of one case."""

    def __init__(self, folder_of_case, zones=("za", "zb", "zc"), nodes=3):
        self.record = Record(pathlib.Path(folder_of_case) / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="basilpath-review-"))
        self.net = random.randint(32, 250)
        self.port = self._free_ports()
        self.zones = list(zones)
        self.command = self._command()
        self.store = Store(f"127.{self.net}.9.1")
        self.nodes = [Node(self, at, self.zones[at % len(self.zones)]) for at in range(nodes)]
        self.leafs, self.next_leaf, self.next_request = [], 0, 0
        self.runs = collections.defaultdict(list)
        self.answers = []
        self.tag = f"{random.getrandbits(24):06x}"

    def _free_ports(self):
        for _ in range(100):
            port = random.randint(10_000, 30_000)
            try:
                for at in range(20):
                    with socket.socket() as probe:
                        probe.bind((f"127.{self.net}.1.1", port + at))
                return port
            except OSError:
                continue
        raise CannotRun("no free ports")

    @staticmethod
    def _command():
        text = (ROOT / "deploy" / "system.toml").read_text()
        found = re.search(r'^run = "([^"]+)"', text, re.MULTILINE)
        words = found.group(1).split()
        words[0] = os.environ.get("BASILPATH_NODE", str(ROOT / words[0]))
        if not os.access(words[0], os.X_OK):
            raise CannotRun(f"{words[0]} has not been built")
        return words

    def note_run(self, request, leaf, first, body):
        self.runs[request].append((time.monotonic(), leaf, first[0], first[1], body))
        self.record.line(f"run {request} by {leaf.id} of {leaf.service}: {first[0]} {first[1]}")

    async def add_leaf(self, service, zone, kind=Leaf, **options):
        self.next_leaf += 1
        leaf = kind(self, service, zone, f"127.{self.net}.2.{self.next_leaf}", **options)
        await leaf.start()
        self.leafs.append(leaf)
        self.record.line(f"leaf {leaf.id} of {service} in {zone} at {leaf.address}")
        return leaf

    def configuration(self, version, routes, services):
        return {"version": version, "routes": routes,
                "backends": [{"name": name, "healthCheck": "/health", "maxConns": 110}
                             for name in services],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                           "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}

    def publish(self, configuration):
        revision = self.store.put("op/config", configuration)
        self.record.say(f"operator: version {configuration['version']} acknowledged at "
                        f"revision {revision}")
        return time.monotonic()

    async def open_doors(self):
        """Gives each node a way of its own to the store."""
        for node in self.nodes:
            node.door = StoreDoor(f"127.{self.net}.8.{node.number + 1}", self.store)
            await node.door.start()

    async def start_nodes(self, path):
        for node in self.nodes:
            await node.start()
        for _ in range(150):
            states = [await self.ready(node) for node in self.nodes]
            if all(states):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("the nodes did not get ready")
        for _ in range(100):
            answers = [await self.call(node, "GET", path, quiet=True) for node in self.nodes]
            if all(one.status == 200 for one in answers):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the nodes did not serve")

    async def ready(self, node):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(node.ip, self.port + 1), 1.0)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
            return head is not None and head[0][1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def call(self, node, method, path, body=b"", deadline_s=2.0, quiet=False, headers=()):
        """Sends one request on a new connection and returns what came of it."""
        self.next_request += 1
        request = f"{self.tag}{self.next_request:06x}"
        lines = [f"{method} {path} HTTP/1.1", "Host: h.example", f"X-Request-Id: {request}",
                 f"X-Deadline-Ms: {int(deadline_s * 1000)}", *headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        answer = Answer(request, node, time.monotonic())
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(node.ip, self.port), 1.0)
            answer.sent = time.monotonic()
            if not quiet:
                self.record.line(f"sent {request} to node {node.number}: {method} {path}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = await asyncio.wait_for(read_head(reader), deadline_s + 1.0)
            if head is None:
                answer.why = "closed without an answer"
            else:
                length = int(head[1].get("content-length", "0"))
                answer.body = await asyncio.wait_for(reader.readexactly(length), 2.0)
                answer.status, answer.headers = int(head[0][1]), head[1]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failed:
            answer.why = type(failed).__name__
        finally:
            if writer:
                writer.close()
        answer.ended = time.monotonic()
        if not quiet:
            self.record.line(f"answered {request}: {answer.status or answer.why} "
                             f"{answer.body[:40]!r}")
            self.answers.append(answer)
        return answer

    async def stop(self):
        for node in self.nodes:
            if node.running:
                node.process.send_signal(signal.SIGCONT)
                node.process.send_signal(signal.SIGTERM)
        for node in self.nodes:
            if node.process is not None:
                try:
                    await asyncio.wait_for(node.process.wait(), 8.0)
                except asyncio.TimeoutError:
                    node.process.kill()
                    await node.process.wait()
        for leaf in self.leafs:
            await leaf.stop()
        for node in self.nodes:
            if node.door:
                await node.door.stop()
        await self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def play(make_world, scenario, limit_s=110):
    """Runs a scenario; exits with 1 if it returns findings, 0 if not, 2 if it cannot run."""

    async def whole():
        world = make_world()
        try:
            return world, await asyncio.wait_for(scenario(world), limit_s)
        finally:
            await world.stop()

    try:
        world, broken = asyncio.run(whole())
    except (CannotRun, OSError, asyncio.TimeoutError) as failed:
        print(f"could not run: {failed!r}")
        sys.exit(2)
    world.record.say("BROKEN" if broken else "HELD")
    world.record.close()
    sys.exit(1 if broken else 0)
