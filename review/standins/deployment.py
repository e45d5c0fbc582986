"""A small deployment on loopback addresses: the store, leafs and nodes.

The store is the one of the fault soak. Nodes are started with the command of
deploy/system.toml and a settings file as DEPLOY.md describes it.
"""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(REPOSITORY / "soak"))
from platform_standin import Store, read_head  # noqa: E402,F401

# The end of a run by a time limit also ends the processes that it started.
signal.signal(signal.SIGTERM, signal.default_int_handler)

DRAIN_MS = 3000
GRACE_S = 6
METRICS_PORT = 9464


def trouble():
    """Whether the run has its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_base(ip, count):
    """Returns the first of `count` free ports in a row."""
    for base in range(12_000, 30_000, 50):
        held = []
        try:
            for port in range(base, base + count):
                one = socket.socket()
                held.append(one)
                one.bind((ip, port))
            return base
        except OSError:
            continue
        finally:
            for one in held:
                one.close()
    raise OSError("no free ports")


class Record:
    """record.txt: what was sent, answered and run, in the order of events."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.start = time.monotonic()

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")

    def close(self, text):
        self.add(text)
        self.file.close()
        print(text, flush=True)


class Node:
    """One process of the deploy file."""

    def __init__(self, deployment, number):
        self.deployment = deployment
        self.ip = f"127.{deployment.net}.1.{number + 1}"
        self.name = f"edge-{number + 1}"
        self.base = deployment.base
        self.file = deployment.folder / f"{self.name}.json"
        self.log = open(deployment.folder / f"{self.name}.log", "ab")
        self.process = None

    @property
    def front(self):
        return self.ip, self.base

    def settings(self, first):
        peers = self.deployment.nodes
        listen = {name: f"{self.ip}:{self.base + offset}" for name, offset in
                  [("front", 0), ("ready", 1), ("control", 2), ("directory", 3)]}
        return {
            "nodeName": self.name, "role": "node", "machineClass": "edge",
            "serves": ["edge", "control_plane", "directory"], "ip": self.ip,
            "zone": "west-lk-a", "region": "west-lk", "zones": {"west-lk-a": "west-lk"},
            "bindAddrs": listen, "portRange": [self.base + 4, self.base + 19],
            "seeds": [f"{one.ip}:{one.base + 2}" for one in peers[:3]], "bootstrap": first,
            "lossCounts": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "directory",
            "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "scatter",
                          "platform"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000,
                       "catchUpS": 4, "drainMs": DRAIN_MS, "graceS": GRACE_S,
                       "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250,
                       "maxSkewMs": 12000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
                       "budgetSlack": 56, "recoveryS": 12, "ttl_max_s": 5},
            "platform": {"address": self.deployment.store.address, "form": "read",
                         "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                         "valueBytes": 1048576, "ttlMinMs": 1000}}

    async def start(self, first=True):
        self.file.write_text(json.dumps(self.settings(first)))
        self.process = await asyncio.create_subprocess_exec(
            "target/bin/basilpath-node", f"--metrics_port={METRICS_PORT}", cwd=REPOSITORY,
            stdout=self.log, stderr=self.log,
            env={"BASILPATH_NODE_FILE": str(self.file), "PATH": os.environ["PATH"]})

    def running(self):
        return self.process is not None and self.process.returncode is None

    async def ready(self):
        """Waits until the readiness address answers 200."""
        for _ in range(200):
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.base + 1)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head and head[0][1] == "200":
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False


class Deployment:
    """Store, leafs and nodes; ends what it started."""

    def __init__(self, nodes=1):
        self.net = 64 + os.getpid() % 128
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="basilpath-review-"))
        self.store = Store(f"127.{self.net}.9.1")
        self.base = free_base(f"127.{self.net}.1.1", 20)
        self.nodes = []
        self.nodes = [Node(self, number) for number in range(nodes)]
        self.leafs = []
        self.version = 0

    def put_configuration(self, routes, services, limits=None):
        self.version += 3
        self.store.put("op/config", {
            "version": self.version, "routes": routes,
            "backends": [{"name": name, "healthCheck": "/health", "maxConns": conns}
                         for name, conns in services.items()],
            "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                                 "headerTimeoutMs": 5000, "idleTimeoutMs": 15000}})

    async def start(self):
        """Starts the nodes; False when one does not get ready."""
        for node in self.nodes:
            await node.start()
        good = [await node.ready() for node in self.nodes]
        await asyncio.sleep(0.5)
        return all(good)

    async def stop(self):
        for node in self.nodes:
            if node.running():
                node.process.send_signal(signal.SIGKILL)
                await node.process.wait()
            node.log.close()
        for leaf in self.leafs:
            await leaf.stop()
        await self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Leaf:
    """A leaf with slots and a queue, as PROTOCOL.md describes it.

    A connection carries one request at a time. A request that finds the queue
    full gets 503 with X-Not-Executed, and so does one whose deadline passes in
    the queue. Work stops at the deadline with 504, and when the connection
    closes.
    """

    # Bytes that are read before the stand-in asks for them.
    read_ahead = 65_536

    def __init__(self, deployment, record, service, number, slots=3, queue=12, work=0.09):
        self.deployment, self.record, self.service = deployment, record, service
        self.host = f"127.{deployment.net}.2.{number + 1}"
        self.id = f"i-{number:04x}c2"
        self.slots, self.queue, self.work = slots, queue, work
        self.running, self.waiting = 0, 0
        self.free = asyncio.Semaphore(slots)
        self.state = "ready"
        self.drained_at = None
        self.ran = {}
        self.server, self.port = None, 0
        self.tasks = set()
        deployment.leafs.append(self)

    def listen_socket(self):
        one = socket.socket()
        one.bind((self.host, 0))
        one.listen(128)
        return one

    async def start(self):
        listening = self.listen_socket()
        self.port = listening.getsockname()[1]
        self.server = await asyncio.start_server(self._connected, sock=listening,
                                                 limit=self.read_ahead)
        self.register()

    def register(self):
        self.deployment.store.put(f"servers/{self.id}", {
            "backend": self.service, "address": f"{self.host}:{self.port}",
            "zone": "west-lk-a", "version": "v1", "slots": self.slots, "state": self.state,
            "coldLeftMs": 0, "seq": 1, "born": 1})

    def drain(self):
        """Reports `draining`; the store accepts it at once."""
        self.state = "draining"
        self.register()
        self.drained_at = time.monotonic()
        self.record.add(f"leaf {self.id} is draining, acknowledged by the store")

    async def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()

    def load(self):
        return f"X-Server-Load: {self.running},{self.waiting},{self.slots},100\r\n"

    def answer(self, status, request, body=b"", extra=""):
        head = (f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
                f"Keep-Alive: timeout=10\r\n{self.load()}{extra}")
        if request:
            head += f"X-Request-Id: {request}\r\n"
        return head.encode() + b"\r\n" + body

    def signed(self, request):
        return f"X-Response-Signature: {request}.{self.id}\r\n"

    async def _connected(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                if not await self.serve(head, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def serve(self, head, reader, writer):
        first, headers = head
        if first[1] == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(self.answer(status, "", b"", f"X-Instance-Id: {self.id}\r\n"))
            return True
        request = headers.get("x-request-id", "")
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("x-target-instance", self.id) != self.id:
            writer.write(self.answer(421, request))
            return True
        self.note_arrival(request)
        return await self.run(request, first, headers, body, reader, writer)

    def note_arrival(self, request):
        self.record.add(f"leaf {self.id} gets {request}")

    async def run(self, request, first, headers, body, reader, writer):
        deadline = time.monotonic() + int(headers.get("x-deadline-ms", "60000")) / 1000
        if self.running + self.waiting >= self.slots + self.queue:
            self.record.add(f"leaf {self.id} rejects {request}: full")
            writer.write(self.answer(503, request, b"", "X-Not-Executed: 1\r\n"))
            return True
        work = asyncio.ensure_future(self.work_on(request, deadline, body))
        closed = asyncio.ensure_future(self.closed(reader))
        await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            self.record.add(f"leaf {self.id} drops {request}: connection closed")
            return False
        closed.cancel()
        writer.write(work.result())
        return True

    async def closed(self, reader):
        """Returns once the connection is closed; a caller sends nothing meanwhile."""
        while not reader.at_eof() and not reader.exception():
            await asyncio.sleep(0.01)

    def seconds_of(self, request):
        return self.work

    async def work_on(self, request, deadline, body):
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            if time.monotonic() >= deadline:
                self.record.add(f"leaf {self.id} rejects {request}: deadline passed in queue")
                return self.answer(503, request, b"", "X-Not-Executed: 1\r\n")
            self.running += 1
            try:
                self.ran[request] = self.ran.get(request, 0) + 1
                self.record.add(f"leaf {self.id} runs {request}")
                left = deadline - time.monotonic()
                seconds = self.seconds_of(request)
                await asyncio.sleep(min(seconds, left))
                if seconds > left:
                    self.record.add(f"leaf {self.id} ends {request}: 504 deadline")
                    return self.answer(504, request, b"deadline", self.signed(request))
                self.record.add(f"leaf {self.id} ends {request}: 200")
                return self.answer(200, request, b"result of " + request.encode(),
                                   self.signed(request))
            finally:
                self.running -= 1
        finally:
            self.free.release()


class Client:
    """A client with one kept connection; sends one request at a time."""

    def __init__(self, record, front):
        self.record, self.front = record, front
        self.connection = None

    async def call(self, request, lines, body=b"", timeout=7.0):
        """Returns (status, headers, body), or a reason that says how it ended."""
        kept = self.connection
        self.connection = None
        try:
            reader, writer = kept or await asyncio.wait_for(
                asyncio.open_connection(*self.front), 1.0)
        except (OSError, asyncio.TimeoutError):
            return "not connected"
        self.record.add(f"client sends {request}{' on a kept connection' if kept else ''}")
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await asyncio.wait_for(read_head(reader), timeout)
            if head is None:
                writer.close()
                return "closed"
            length = int(head[1].get("content-length", "0"))
            content = await asyncio.wait_for(reader.readexactly(length), timeout)
        except asyncio.TimeoutError:
            writer.close()
            return "no answer in time"
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
            return "closed"
        if head[1].get("connection", "").lower() == "close":
            writer.close()
        else:
            self.connection = reader, writer
        return int(head[0][1]), head[1], content

    def close(self):
        if self.connection:
            self.connection[1].close()
            self.connection = None
