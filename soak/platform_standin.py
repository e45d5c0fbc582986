"""Stand-ins for the environment of a node: the platform's store and its leafs.

They implement the published protocol on loopback addresses, run in one asyncio
loop, and record the data that the checks need.
"""

import asyncio
import base64
import hashlib
import json
import random
import time

from cold_leafs import SLOWDOWN, ColdLeaf
from leaving import SaidLeaving, host_of
from limits import NamedLimit, host_of_connection

# Items a page of the store, few enough for many pages.
PAGE_ITEMS = 7

# The body of an answer without end: about 450 kB a second, for longer than any deadline.
ENDLESS_PIECE = b"e" * 45_000
ENDLESS_PAUSE_S = 0.1
ENDLESS_S = 30.0

# Share of the rejections that are sent a second time, and when.
REPEATED_SHARE = 0.3
REPEATED_AFTER_S = 0.01

# Statuses of no class of HTTP.
ODD_STATUSES = ["000", "042", "099", "600", "999"]


def now_ms():
    return time.monotonic() * 1000.0


async def read_head(reader):
    """Returns the words of the first line and the headers; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    first = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return b""


def reply(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def ends_of(writer):
    """The far and the near end of a connection."""
    return writer.get_extra_info("peername"), writer.get_extra_info("sockname")


class Server:
    """Serves connections on one address; can be stopped and restarted."""

    def __init__(self, host, port=0):
        self.host, self.port = host, port
        self.server = None
        self.writers = set()

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
                self.arrived(head[0], head[1], writer)
                body = await read_body(reader, head[1])
                if not await self.handle(head[0], head[1], body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def arrived(self, first, headers, writer):
        """Called when the head of a request has arrived."""

    @property
    def is_listening(self):
        return self.server is not None

    @property
    def address(self):
        return f"{self.host}:{self.port}"


class Store(Server):
    """The platform's store: items with one revision counter, and watches."""

    def __init__(self, host):
        super().__init__(host)
        self.items, self.log = {}, []
        self.revision = 0
        self.mode = "up"
        self.changed = asyncio.Event()
        self.calls = 0
        self.oldest = 0
        self.era = 1
        self.is_away = False
        # What each key's writer wrote last, accepted or not.
        self.latest = {}
        # Keys whose writes are accepted and lost, as a plant.
        self.dropped_keys = set()

    def put(self, key, value):
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key, value):
        self.latest[key] = value
        if self.is_away or key in self.dropped_keys:
            return
        self.revision += 1
        self.items[key] = (value, self.revision)
        self._record({"key": key, "value": base64.b64encode(self.items[key][0]).decode(),
                      "revision": self.revision, "createRevision": 1, "lease": 0})

    def delete(self, key):
        self.latest.pop(key, None)
        if key in self.items and not self.is_away:
            self.revision += 1
            del self.items[key]
            self._record({"key": key, "revision": self.revision, "deleted": True})

    def compact(self):
        self.oldest = self.revision
        self._wake()

    @property
    def serves(self):
        return not self.is_away and self.mode == "up"

    def copy(self):
        """A copy of the store as it is now."""
        return dict(self.items), list(self.log), self.revision, self.oldest

    def go_away(self):
        """Resets all connections and refuses new ones."""
        self.is_away = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self._wake()

    async def come_back(self, copy):
        """Serves again, with the content of a copy and in the next era."""
        items, log, self.revision, self.oldest = copy
        self.items, self.log = dict(items), list(log)
        self.era += 1
        self.is_away = False
        self._wake()
        await self.start()

    def lost_keys(self, prefix):
        """The keys at which the store does not hold what was written last."""
        return sorted(key for key in self.items.keys() | self.latest.keys()
                      if key.startswith(prefix)
                      and self.latest.get(key) != self.items.get(key, (None, 0))[0])

    def write_latest(self, key):
        """Writes again what the key's writer wrote last."""
        if key in self.latest:
            self.put_bytes(key, self.latest[key])
        else:
            self.delete(key)

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _record(self, event):
        self.log.append(event)
        self._wake()

    def _reply(self, status, body=b""):
        return reply(status, body, [("Store-Era", self.era)])

    def _item(self, key):
        value, revision = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "createRevision": 1, "lease": 0}

    async def handle(self, first, headers, body, writer):
        self.calls += 1
        while self.mode == "silent":
            await asyncio.sleep(0.05)
        if self.mode == "reset":
            writer.transport.abort()
            return False
        if self.mode == "busy":
            writer.write(self._reply(503))
            return True
        era = self.era
        path, _, query = first[1].partition("?")
        from urllib.parse import parse_qs
        parameters = {key: values[0] for key, values in
                      parse_qs(query, keep_blank_values=True).items()}
        if path == "/kv-range":
            after = parameters.get("after", "")
            keys = sorted(key for key in self.items
                          if key.startswith(parameters.get("prefix", "")) and key > after)[:PAGE_ITEMS]
            has_more = any(key > keys[-1] for key in self.items
                           if key.startswith(parameters.get("prefix", ""))) if keys else False
            answer = {"items": [self._item(key) for key in keys], "hasMore": has_more}
        elif path == "/kv-watch":
            after, wait = int(parameters["after"]), int(parameters["waitMs"]) / 1000
            if after < self.oldest or after > self.revision:
                writer.write(self._reply(410))
                return True
            prefix = parameters.get("prefix", "")
            if self.revision <= after:
                try:
                    await asyncio.wait_for(self.changed.wait(), wait)
                except asyncio.TimeoutError:
                    pass
            if self.is_away or self.era != era:
                writer.transport.abort()
                return False
            events = [one for one in self.log
                      if one["revision"] > after and one["key"].startswith(prefix)]
            answer = {"events": events}
        else:
            writer.write(self._reply(404))
            return True
        answer["currentRev"] = self.revision
        writer.write(self._reply(200, json.dumps(answer).encode()))
        return True


class Leaf(Server):
    """One leaf: runs requests, records them, and can inject faults."""

    def __init__(self, world, service, host, zone, rng):
        super().__init__(host)
        self.world, self.service, self.zone, self.rng = world, service, zone, rng
        self.id = f"i-{rng.getrandbits(40):010x}"
        self.slots = asyncio.Semaphore(2)
        self.work = 0.004
        self.fault = None
        self.share = 0.5
        self.running = 0
        # Since when the store has the entry of a leaf that leaves.
        self.leaving_since = None
        self.is_leaving, self.said = False, SaidLeaving()
        self.last_taken = 0.0
        self.limit, self.limits = None, []
        self.cold = ColdLeaf()
        self.seq = 1

    @property
    def key(self):
        return f"servers/{self.id}"

    def entry(self, state="ready"):
        return {"backend": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 2, "state": state,
                "coldLeftMs": int(self.cold.left_s() * 1000), "seq": self.seq, "born": 1}

    def write_entry(self):
        """Writes the entry as a heartbeat does; it changes when more than `seq` changes."""
        self.seq += 1
        entry = self.entry("draining" if self.says_that_it_leaves else "ready")
        held = self.world.store.items.get(self.key)
        if held is None or dict(json.loads(held[0]), seq=self.seq) != entry:
            self.world.store.put(self.key, entry)

    @property
    def says_that_it_leaves(self):
        return self.is_leaving and self.world.args.plant != "said_leaving"

    def leaving_headers(self):
        return [("Server-Leaving", "1")] if self.says_that_it_leaves else []

    def signature(self, request):
        digest = hashlib.sha256(f"{request}/{self.id}/{self.world.seed}".encode())
        return digest.hexdigest()[:16]

    def name_limit(self, rate):
        """Names a limit from now on; None ends it."""
        if rate is None:
            self.limit.ended = time.monotonic()
            self.limit = None
        elif self.limit:
            self.limit.change(rate)
        else:
            self.limit = NamedLimit(rate)
            self.limits.append(self.limit)

    def state_headers(self):
        """The leaf's load, whether it leaves and, if it names one, its limit."""
        headers = [("X-Server-Load", f"{self.running},0,2,100"), *self.leaving_headers()]
        return headers + [("Server-Limit", f"{self.limit.rate:g}")] if self.limit else headers

    def arrived(self, first, headers, writer):
        if first[1] != "/health" and headers.get("x-target-instance") != self.id:
            return  # It gets 421.
        self.cold.note_arrival()
        self.world.evacuations.note_arrival(self, first[1], ends_of(writer))
        if self.is_leaving and first[1] != "/health":
            self.said.note_arrival(host_of(self, writer), headers.get("x-request-id", ""))

    async def handle(self, first, headers, body, writer):
        limit = self.limit
        if not limit:
            return await self.answer(first, headers, body, writer)
        node = host_of_connection(self.world.nodes, *ends_of(writer))
        for _ in range(50 if self.world.args.plant == "limit" else 1):
            limit.note_arrival(node)
        keep = await self.answer(first, headers, body, writer)
        if keep:
            limit.note_answer(node)
        return keep

    async def answer(self, first, headers, body, writer):
        if first[1] == "/health":
            headers = [("X-Instance-Id", self.id), *self.state_headers()]
            if self.cold.spans:
                headers.append(("X-Cold-Ms", str(int(self.cold.left_s() * 1000))))
            writer.write(reply(200, b"", headers))
            return True
        request = headers.get("x-request-id", "")
        if headers.get("x-target-instance") != self.id:
            writer.write(reply(421, b"", [("X-Instance-Id", self.id), *self.leaving_headers()]))
            return True
        fault = self.fault if self.rng.random() < self.share else None
        if fault in ("shed", "shed-twice"):
            rejection = reply(503, b"", [("X-Not-Executed", "1"), *self.state_headers()])
            writer.write(rejection)
            if fault == "shed-twice" and self.rng.random() < REPEATED_SHARE:
                asyncio.get_running_loop().call_later(REPEATED_AFTER_S, writer.write, rejection)
            return True
        if fault == "reset-before":
            writer.transport.abort()
            return False
        if self.leaving_since is not None:
            self.world.check_drain(self)
        self.world.record_run(request, self, first, body)
        self.running += 1
        try:
            async with self.slots:
                work = self.work * (SLOWDOWN if self.cold.left_s() else 1)
                await asyncio.sleep(work * (20 if fault == "slow" else 1))
        finally:
            self.running -= 1
        if fault == "silent":
            await asyncio.sleep(30)
        if fault == "reset":
            writer.transport.abort()
            return False
        records = self.world.records(request, self.service)
        if self.world.args.plant == "mixed" and self.rng.random() < 0.05:
            records = bytes(reversed(records))
        signed = [("X-Response-Signature", self.signature(request)),
                  ("X-Request-Id", request), *self.state_headers()]
        if self.is_leaving:
            self.said.note_answer(host_of(self, writer), self.signature(request))
        if fault == "error":
            writer.write(reply(500, b"failed", signed))
            return True
        if fault == "odd-status":
            writer.write(reply(self.rng.choice(ODD_STATUSES), records, signed))
            return True
        answer = reply(200, records, signed)
        if fault == "cut":
            writer.write(answer[:-3])
            writer.close()
            return False
        if fault == "extra":
            other = [("X-Response-Signature", "stray"), ("X-Request-Id", "stray")]
            writer.write(answer + reply(200, b"stray bytes", other))
            return True
        if fault == "unframed":
            head, _, rest = answer.partition(b"\r\n\r\n")
            lines = [line for line in head.split(b"\r\n") if b"Content-Length" not in line]
            writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + rest)
            writer.close()
            return False
        if fault in ("endless-chunked", "endless-unframed"):
            await self.answer_without_end(fault == "endless-chunked", signed, writer)
            return False
        writer.write(answer)
        return True

    async def answer_without_end(self, chunked, headers, writer):
        """Sends a body that does not end before the host closes the connection."""
        framing = [("Transfer-Encoding", "chunked")] if chunked else []
        lines = ["HTTP/1.1 200 X"] + [f"{name}: {value}" for name, value in headers + framing]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        piece = ENDLESS_PIECE
        if chunked:
            piece = b"%x\r\n%s\r\n" % (len(piece), piece)
        ends = time.monotonic() + ENDLESS_S
        while time.monotonic() < ends and not writer.transport.is_closing():
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(ENDLESS_PAUSE_S)
