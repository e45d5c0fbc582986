"""Simulated callers of the nodes, which verify each answer."""

import asyncio
import json
import random
import time

from pipelines import Pipelines
from platform_standin import read_body, read_head
from slow_readers import SlowReaders

VERSION_SLACK_S = 0.25
# Time from the acknowledgement of a version within which hosts in touch use it.
CONFIG_APPLY_S = 3.0

# Time within which a host may still close a connection on which a request arrives.
LOSS_SLACK_S = 0.2
STALL_CHECK_S = 0.02

# Number of services that versions use in turn.
VERSIONS = 16

DEADLINES_S = {"lookup": 6.0, "large": 3.0}
USUAL_DEADLINE_S = 1.5

# Of the callers that keep a connection, every which one sends groups of requests.
GROUPS_EVERY = 4
# Share of the requests of other callers that ask for a large answer and read it slowly.
SLOW_SHARE = 0.03


class Request:
    """One request of a caller: its id, its kind and its bytes."""

    def __init__(self, id, kind):
        self.id, self.kind = id, kind
        self.deadline_s = DEADLINES_S.get(kind, USUAL_DEADLINE_S)
        self.body = id.encode() if kind == "order" else b""
        method = "POST" if kind == "order" else "GET"
        self.lines = [f"{method} /{kind}/{id} HTTP/1.1", "Host: h", f"X-Request-Id: {id}",
                      f"X-Deadline-Ms: {int(self.deadline_s * 1000)}"]
        if self.body:
            self.lines.append(f"Content-Length: {len(self.body)}")
        self.sent = None

    @property
    def bytes(self):
        return "\r\n".join(self.lines).encode() + b"\r\n\r\n" + self.body


class Callers:
    """Keeps connections, queries the directory, sends requests and verifies answers."""

    def __init__(self, world):
        self.world = world
        self.counts = {}
        self.answers = {}
        # When each request was sent, and when the answer with a leaf's signature had arrived.
        self.sent, self.passed_on = {}, {}
        self.newest = {}
        self.versions_checked = 0
        self.cut = []
        self.stalls = []
        self.number = 0
        self.pipelines, self.slow_readers = Pipelines(self), SlowReaders(self)

    def compose(self, kind):
        self.number += 1
        return Request(f"{self.world.seed:x}-{self.number:x}", kind)

    def note_sent(self, request):
        request.sent = time.monotonic()
        self.world.requests.append((request.sent, request.kind))
        self.sent[request.id] = request.sent
        self.answers[request.id] = (request.kind, None)

    def note_outcome(self, request, status, why=""):
        key = (request.kind, str(status) if status else why)
        self.counts[key] = self.counts.get(key, 0) + 1
        self.answers[request.id] = (request.kind, status)

    def check_answered(self, request, ip, answer):
        """Verifies an answer that has arrived whole."""
        status, headers, content = answer
        self.note_outcome(request, status)
        if not 200 <= status < 600:
            self.world.report_violation("mixed", f"{request.id}: answered with status {status}")
        if status == 200:
            self.check_answer(request.kind, request.id, headers, content)
            if request.kind == "version":
                self.check_version(self.node_at(ip), request.id, request.sent)
        if request.kind == "version":
            self.check_in_force(self.node_at(ip), request.id, request.sent)

    def node_at(self, ip):
        return next(one for one in self.world.nodes if one.ip == ip)

    async def call(self, ip, port, lines, body=b"", pool=None, timeout=3.0, body_delay=0.0):
        """Returns status, headers and body; None with a reason when the call fails."""
        key = (ip, port)
        kept = pool.pop(key, None) if pool is not None else None
        sent = False
        try:
            reader, writer = kept or await asyncio.wait_for(
                asyncio.open_connection(ip, port), 1.0)
            if body_delay:
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
                await asyncio.sleep(body_delay)
                writer.write(body)
            else:
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            sent = True
            head = await asyncio.wait_for(read_head(reader), timeout)
            if head is None:
                return None, "closed" if kept is None else "closed-kept"
            answer = await asyncio.wait_for(read_body(reader, head[1]), timeout)
            if pool is not None and head[1].get("connection", "").lower() != "close":
                pool[key] = (reader, writer)
            else:
                writer.close()
            return (int(head[0][1]), head[1], answer), ""
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failed:
            name = type(failed).__name__
            return None, f"{name} {'after' if sent else 'before'} sending"

    async def resolve(self, rng):
        nodes = self.world.nodes[:]
        rng.shuffle(nodes)
        for node in nodes[:3]:
            answer, _ = await self.call(
                node.ip, self.world.port + 3,
                [f"GET /resolve?name=h&region=r&zone={rng.choice('ab')} HTTP/1.1", "Host: d"],
                timeout=1.0)
            if answer and answer[0] == 200:
                return [one.split(":")[0] for one in json.loads(answer[2])["addrs"]]
        return []

    async def await_ready(self):
        rng = random.Random(0)
        for _ in range(200):
            if len(await self.resolve(rng)) >= 2:
                await asyncio.sleep(1.0)
                return
            await asyncio.sleep(0.1)
        self.world.report_violation("start", "no directory returned two hosts within 20 s")

    async def run(self, caller, until):
        """Sends one request after the other. Callers below `args.keepers` use each open
        connection until it ends, whatever the directory returns meanwhile; some of them send
        groups of requests. Of the others each reads a large answer slowly now and then."""
        rng = random.Random(f"{self.world.seed}/{caller}")
        keeps = caller < self.world.args.keepers
        pool, hosts, resolved_at = {}, [], 0.0
        while time.monotonic() < until:
            if not hosts or time.monotonic() - resolved_at > 2.0:
                hosts = await self.resolve(rng) or hosts
                resolved_at = time.monotonic()
            kept = [ip for ip, _ in pool] if keeps else []
            if kept or hosts:
                ip = rng.choice(kept or hosts)
                if keeps and caller % GROUPS_EVERY == 0:
                    await self.pipelines.send_group(rng, ip, pool)
                elif not keeps and rng.random() < SLOW_SHARE:
                    await self.slow_readers.read_one(rng, ip)
                else:
                    await self.one(rng, ip, pool)
            await asyncio.sleep(rng.uniform(0.0, rng.choice([0.06, 1.5]) if keeps else 0.06))

    async def one(self, rng, ip, pool):
        kind = rng.choices(["all", "one", "order", "version", "lookup"], [5, 2, 2, 2, 2])[0]
        request = self.compose(kind)
        self.note_sent(request)
        body_delay = rng.uniform(0.05, 2.5) if request.body and rng.random() < 0.2 else 0.0
        answer, why = await self.call(ip, self.world.port, request.lines, request.body, pool,
                                      request.deadline_s + 1.5, body_delay)
        if self.world.args.plant == "lost" and answer and rng.random() < 0.02:
            answer, why = None, "closed-kept"
        if answer:
            self.check_answered(request, ip, answer)
            return
        self.note_outcome(request, None, why)
        if kind == "version":
            self.check_in_force(self.node_at(ip), request.id, request.sent)
        if "closed" in why or "after" in why:
            self.cut.append((request.id, ip, why, request.sent + body_delay, time.monotonic()))

    def check_answer(self, kind, request, headers, content):
        world = self.world
        runs = world.runs.get(request, [])
        by_signature = {}
        for service, leaf, method, target, body in runs:
            signer = next((one for one in world.leafs if one.id == leaf), None)
            by_signature[self.signature(request, leaf)] = service
            if target != f"/{kind}/{request}":
                world.report_violation("changed", f"{request} ran as {method} {target}")
            del signer
        if kind != "all":
            signature = headers.get("x-response-signature", "")
            service = by_signature.get(signature)
            if service is None or content != world.records(request, service):
                world.report_violation("mixed", f"{request}: {signature} {content[:20]!r}")
            self.passed_on[signature] = time.monotonic()
            return
        stamps = [one.strip() for one in headers.get("x-part-stamps", "").split(",")]
        services = [by_signature.get(one) for one in stamps]
        self.passed_on.update(dict.fromkeys(stamps, time.monotonic()))
        missing = int(headers.get("x-missing-parts", "0"))
        if None in services or len(set(services)) != len(services):
            world.report_violation("mixed", f"{request}: parts {services} {stamps}")
            return
        fits = [one for one in world.shard_sets.values()
                if set(services) <= one and len(services) + missing == len(one)]
        if not fits or len(services) < 0.6 * (len(services) + missing):
            world.report_violation("coverage", f"{request}: {services} and {missing} missing")
        records = []
        for service in services:
            part = world.records(request, service)
            records += [part[at:at + 16] for at in range(0, len(part), 16)]
        if content != b"".join(sorted(records, reverse=True)[:6]):
            world.report_violation(
                "mixed", f"{request}: the records are not the greatest of its parts")

    def signature(self, request, leaf):
        import hashlib
        return hashlib.sha256(f"{request}/{leaf}/{self.world.seed}".encode()).hexdigest()[:16]

    def version_used(self, request):
        """The newest version that its first run allows; None if it did not run."""
        runs = self.world.runs.get(request, [])
        if not runs:
            return None
        # Versions use the services in turn, so this is the newest version published by then
        # that the host may have used.
        published = self.world.published_at_run[request]
        return published - (published - int(runs[0][0][1:])) % VERSIONS

    def check_in_force(self, node, request, sent):
        """A host in touch does not use a version if a newer one was acknowledged more than
        CONFIG_APPLY_S before the request was sent."""
        due, at = max([(version, at) for version, at in self.world.acknowledged.items()
                       if sent > at + CONFIG_APPLY_S], default=(0, 0.0))
        seen = self.version_used(request)
        if not due or seen is None or not self.world.evacuations.is_in_touch(node, sent) or (
                node.was_disturbed(sent, time.monotonic())):
            return
        self.versions_checked += 1
        if seen < due:
            self.world.report_violation(
                "config", f"{request} at {node.ip} ran at v{seen}, sent {sent - at:.2f} s after "
                f"v{due} was acknowledged")

    def check_version(self, node, request, sent):
        """A process never uses an older configuration than one it has used before."""
        seen = self.version_used(request)
        if seen is None:
            return
        key = (node.ip, node.process.pid)
        newest, since = self.newest.get(key, (0, 0.0))
        if seen < newest:
            if sent > since + VERSION_SLACK_S:
                self.world.report_violation(
                    "version", f"{request} at {node.ip} ran at v{seen} after v{newest}")
            return
        if seen > newest:
            self.newest[key] = (seen, time.monotonic())

    def check_once(self):
        for request, (kind, status) in self.answers.items():
            runs = self.world.runs.get(request, [])
            if kind == "order" and len(runs) > 1:
                self.world.report_violation("twice", f"{request} ran {len(runs)} times")
            if kind == "order" and status in (429, 503) and runs:
                self.world.report_violation(
                    "refused", f"{request} was refused although it had run")
        unknown = [one for one in self.world.runs if one not in self.answers]
        if unknown:
            self.world.report_violation("unasked", f"{unknown[:3]} ran without having been sent")

    async def measure_stalls(self):
        """Records when this process ran late, so that it notices an end late."""
        while True:
            expected = time.monotonic() + STALL_CHECK_S
            await asyncio.sleep(STALL_CHECK_S)
            now = time.monotonic()
            if now - expected > STALL_CHECK_S:
                self.stalls.append((expected, now))

    def stalled(self, start, end):
        """Returns for how many seconds of a span this process was stalled."""
        return sum(max(0.0, min(end, until) - max(start, since)) for since, until in self.stalls)

    def check_lost(self):
        """Around planned operations a host answers each request that it has passed on, or has
        had for a while. A request on a kept connection may cross the host's close of it."""
        for request, ip, why, sent, ended in self.cut:
            if self.world.runs.get(request):
                self.world.report_violation("lost", f"{request} at {ip}: {why}, passed on")
            elif ended - sent - self.stalled(sent, ended) > LOSS_SLACK_S:
                self.world.report_violation(
                    "lost", f"{request} at {ip}: {why} {ended - sent:.3f} s after it was sent")
        self.pipelines.check_lost()

    async def check_served(self):
        """Five seconds after the last fault at least 90% of requests succeed."""
        await asyncio.sleep(5)
        before = dict(self.counts)
        await asyncio.gather(*(self.run(100 + n, time.monotonic() + 2) for n in range(6)))
        good = total = 0
        for key, count in self.counts.items():
            new = count - before.get(key, 0)
            total += new
            good += new if key[1] == "200" else 0
        if total == 0 or good < 0.9 * total:
            self.world.report_violation("recover", f"{good} of {total} served after the faults")

    def summary(self):
        total = sum(self.counts.values())
        good = sum(count for key, count in self.counts.items() if key[1] == "200")
        return (f"{good} of {total} served; groups {self.pipelines.groups}; "
                f"large {self.slow_readers.answers}")
