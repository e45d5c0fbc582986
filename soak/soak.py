#!/usr/bin/env python3
"""A randomized soak test of basilpath-node with external fault injection.

Runs hosts as separate processes on loopback addresses with stand-ins of the
store and the leafs, simulates callers, injects faults chosen by the seed, and
verifies the observations of callers and leafs. Exits with 1 after a violation.
"""

import argparse
import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import cold_leafs  # noqa: E402
from callers import VERSIONS, Callers  # noqa: E402
from cold_leafs import ColdFaults  # noqa: E402
from drills import DrillFaults, Drills  # noqa: E402
from evacuations import EVACUATE_S, EvacuationFaults, Evacuations  # noqa: E402
from leaving import DRAIN_S  # noqa: E402
from limits import CONTACT_S  # noqa: E402
from platform_standin import Leaf, Store  # noqa: E402
from proxy import Proxy  # noqa: E402

SHARDS = 5
GRACE_S = 6.0
# Time after a start within which SIGTERM may still end a host at once.
START_S = 3.0
CONNECTIONS = 24
LOOKUP_WORK_S = 0.16
LARGE_BYTES = 400_000
# Time between two reads of the memory that hosts have used.
MEMORY_READ_S = 0.2
# Covers each kind of failure within a second or two.
EXPLAINED_REQUESTS = 60
# Requests a second that leafs name, far below their demand.
LIMITS = [0.5, 1, 2, 4, 8, 15.5]
NESTED = "[" * 200_000 + "]" * 200_000
USUAL_ENTRY = ('"backend":"desk","address":"127.0.0.1:9","zone":"a","version":"v1",'
               '"state":"ready","coldLeftMs":0,"seq":1,"born":1')
# Bytes that other writers leave as the entry of a leaf.
ODD_VALUES = [value.encode("latin-1") for value in (
    f'{{{USUAL_ENTRY},"slots":{NESTED}}}', f'{{"slots":2,"coldLeftMs":{NESTED}}}', NESTED,
    f'{{{USUAL_ENTRY},"slots":1e400}}', f'{{{USUAL_ENTRY},"slots":99999999999999999999}}',
    USUAL_ENTRY.join("{}").replace(":9", ":65536"), USUAL_ENTRY.join("{}").replace(":9", ":0"),
    '{"backend":"desk"}', '[]', "\xff\xfe\x00", "")]
ODD_KEYS = ["b&s", "b+s", "b s", "b%26", "b#s", "b?s=1", "a/b/c", "b\r\ns", "b\u00e9", "~" * 190]
LEAF_FAULTS = ["shed", "shed-twice", "error", "slow", "silent", "reset", "reset-before", "cut",
               "extra", "unframed", "odd-status"]
ENDLESS_FAULTS = ["endless-chunked", "endless-unframed"]
# Signals that a host may get besides, while it stops.
SIGNALS_IN_A_STOP = [signal.SIGTERM, signal.SIGTERM, signal.SIGHUP]

# Faults that belong to a run only if leafs have a rate while they are cold.
COLD_KINDS = {"evacuate", "evacuate_cold", "leaf_cold"}
# Plants that only the check of the same name may catch.
NAMED_PLANTS = {"evac", "cold", "config", "said_leaving"}
# Time for which a leaf serves on after the store has its entry; at times many seconds.
LEAVES_AFTER_S = [DRAIN_S + 0.5, DRAIN_S + 0.5, DRAIN_S + 4.0]


class Node:
    """One host: a process, its settings file and its proxy to the store."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.ip = f"127.{world.net}.1.{number + 1}"
        self.zone = "ab"[number % 2]
        self.proxy = Proxy(self.ip, world.store.host, world.store.port)
        self.process = None
        self.started = 0.0
        self.expected_end = False
        self.planned_until = 0.0
        self.disturbed_until = 0.0
        self.disturbances, self.pauses = [], []
        self.file = world.folder / f"node-{number}.json"
        self.log = open(world.folder / f"node-{number}.log", "ab")

    def settings(self, first):
        world = self.world
        address = {name: f"{self.ip}:{world.port + offset}" for name, offset in
                   [("front", 0), ("ready", 1), ("control", 2), ("directory", 3)]}
        return {"nodeName": f"edge-{self.number}", "ip": self.ip, "zone": self.zone,
                "region": "r", "zones": {"a": "r", "b": "r"}, "bindAddrs": address,
                "portRange": [world.port + 4, world.port + 9], "bootstrap": first,
                "seeds": [f"{node.ip}:{world.port + 2}" for node in world.nodes[:3]],
                "limits": {"cpuShare": 1.0, "linkMbps": 1000.0, "memoryMb": world.args.memory_mb},
                "bounds": {"drainMs": int(DRAIN_S * 1000), "graceS": GRACE_S,
                           "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 40,
                           "contactMs": int(CONTACT_S * 1000),
                           "evacuateMs": int(EVACUATE_S * 1000),
                           "coldOverage": cold_leafs.OVERAGE, "coldSlack": cold_leafs.SLACK,
                           "ttl_max_s": 5},
                "platform": {"address": f"{self.ip}:{self.proxy.port}"}}

    async def start(self, first=False):
        self.file.write_text(json.dumps(self.settings(first)))
        self.expected_end = False
        self.started = time.monotonic()
        self.process = await asyncio.create_subprocess_exec(
            self.world.program, stdout=self.log, stderr=self.log,
            env={"BASILPATH_NODE_FILE": str(self.file), "PATH": os.environ["PATH"]})
        asyncio.create_task(self._watch(self.process))

    async def _watch(self, process):
        code = await process.wait()
        if not self.expected_end and process is self.process:
            self.world.report_violation("end", f"{self.ip} exited unexpectedly with {code}")

    def peak_memory_mb(self):
        """The most memory that the process has had resident so far; 0 after its end."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        return next((int(line.split()[1]) * 1024 / 1e6 for line in status.splitlines()
                     if line.startswith("VmHWM:")), 0.0)

    def was_disturbed(self, start, end):
        """Whether a restart, pause or cut overlaps a span of time."""
        return any(begin <= end and until >= start for begin, until in self.disturbances)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None


class World(EvacuationFaults, ColdFaults, DrillFaults):
    """The environment of the nodes and the violations found."""

    def __init__(self, args, seed, folder):
        self.args, self.seed = args, seed
        self.rng = random.Random(seed)
        self.folder = folder
        self.program = args.program
        self.net = 64 + os.getpid() % 128
        # Below the ephemeral port range of the system.
        self.port = 10_000 + (seed * 37 + os.getpid()) % 20_000
        self.store = Store(f"127.{self.net}.9.1")
        self.leafs, self.all_leafs, self.nodes = [], [], []
        self.limits_checked = self.most_while_cold = 0
        self.runs, self.arrivals, self.requests = {}, [], []
        self.published_at_run = {}
        self.version, self.shard_sets = 0, {}
        self.acknowledged = {}
        self.violations = []
        self.next_leaf = 0
        self.store_steady_since, self.store_outages = time.monotonic(), []
        self.evacuations, self.zones_taken = Evacuations(self), set()
        self.drills = Drills(self)
        self.leaving_pairs = 0
        self.done = {}
        self.peak_memory_mb = 0.0

    def report_violation(self, promise, what):
        self.violations.append((promise, what))
        print(f"  broken {promise}: {what}", flush=True)

    # Called by leafs.
    def record_run(self, request, leaf, first, body):
        self.runs.setdefault(request, []).append((leaf.service, leaf.id, first[0], first[1],
                                                  body))
        self.published_at_run.setdefault(request, self.version)
        self.arrivals.append((time.monotonic(), leaf.service, request))
        if self.args.plant == "twice":
            self.runs[request].append(self.runs[request][-1])
        if self.args.plant == "budget":
            self.arrivals += self.arrivals[-1:]

    def check_drain(self, leaf):
        after = time.monotonic() - leaf.leaving_since
        steady = time.monotonic() - self.store_steady_since
        allowed = 0.0 if self.args.plant == "drain" else DRAIN_S
        if after > allowed and steady > after + 4 and all(
                node.disturbed_until < leaf.leaving_since for node in self.nodes):
            self.report_violation(
                "drain", f"{leaf.id} received a request {after:.2f} s after it left")

    def records(self, request, service):
        rng = random.Random(f"{request}/{service}")
        records = b"".join(rng.randbytes(16) for _ in range(4))
        return records * (LARGE_BYTES // len(records)) if service == "large" else records

    async def add_leaf(self, service, zone, starts_cold=False):
        self.next_leaf += 1
        leaf = Leaf(self, service, f"127.{self.net}.2.{self.next_leaf % 250 + 1}", zone, self.rng)
        await leaf.start()
        self.leafs.append(leaf)
        self.all_leafs.append(leaf)
        if starts_cold:
            self.become_cold([leaf], is_known=True)
        self.store.put(leaf.key, leaf.entry())
        return leaf

    def put_configuration(self):
        self.version += 1
        services = [f"s{n}" for n in range(SHARDS)]
        if self.version % 2 == 0:
            services = services[:-1] + ["s-other"]
        self.shard_sets[self.version] = frozenset(services)
        common = {"host": "h", "timeoutMs": 2000, "attempts": 2, "priority": 1}
        routes = [
            dict(common, name="all", prefix="/all/", type="idempotent", targetLatencyMs=150,
                 gather=services, topK=6, minCoverage=0.6),
            dict(common, name="one", prefix="/one/", type="idempotent", targetLatencyMs=200,
                 backend="desk"),
            dict(common, name="order", prefix="/order/", type="non_idempotent",
                 targetLatencyMs=200, backend="desk"),
            dict(common, name="lookup", prefix="/lookup/", type="idempotent", timeoutMs=6000,
                 targetLatencyMs=600, backend="lookup"),
            dict(common, name="large", prefix="/large/", type="idempotent", timeoutMs=3000,
                 targetLatencyMs=600, backend="large"),
            dict(common, name="version", prefix="/version/", type="idempotent",
                 targetLatencyMs=200, backend=f"v{self.version % VERSIONS}")]
        names = set(services) | {"desk", "lookup", "large"} | {f"v{n}" for n in range(VERSIONS)}
        cold = {"coldStartS": self.args.cold_start_s, "coldPerS": self.args.cold_per_s}
        if not self.args.cold_per_s:
            cold = {}
        self.store.put("op/config", {
            "version": self.version * 3, "routes": routes,
            "backends": [dict(cold, name=name, healthCheck="/health", maxConns=CONNECTIONS)
                         for name in sorted(names)],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}})
        self.acknowledged[self.version] = time.monotonic()
        return self.acknowledged[self.version]

    async def build(self):
        await self.store.start()
        for n in range(SHARDS):
            for zone in "ab":
                await self.add_leaf(f"s{n}", zone)
        for zone in "ab":
            await self.add_leaf("s-other", zone)
            await self.add_leaf("desk", zone)
        await self.add_leaf("desk", "a")
        for zone in "abab":
            (await self.add_leaf("lookup", zone)).work = LOOKUP_WORK_S
        for n in range(VERSIONS):
            await self.add_leaf(f"v{n}", "ab"[n % 2])
        for zone in "ab":
            await self.add_leaf("large", zone)
        self.put_configuration()
        self.nodes = [Node(self, n) for n in range(self.args.nodes)]
        for node in self.nodes:
            await node.proxy.start()
        for node in self.nodes:
            await node.start(first=True)

    async def stop(self):
        for node in self.nodes:
            node.expected_end = True
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGTERM)
        for node in self.nodes:
            if node.is_running:
                try:
                    await asyncio.wait_for(node.process.wait(), GRACE_S)
                except asyncio.TimeoutError:
                    self.report_violation(
                        "stop", f"{node.ip} was still running {GRACE_S} s after SIGTERM")
                    node.process.kill()
                    await node.process.wait()
            await node.proxy.stop()
            node.log.close()
        for leaf in self.leafs:
            await leaf.stop()
        await self.store.stop()

    # Faults.
    def disturb(self, node, seconds):
        now = time.monotonic()
        node.disturbed_until = max(node.disturbed_until, now + seconds + 4)
        node.disturbances.append((now, now + seconds))

    async def fault_leafs(self):
        chosen = self.rng.sample(self.leafs, max(1, len(self.leafs) // 5))
        fault = self.rng.choice(LEAF_FAULTS)
        for leaf in chosen:
            leaf.fault = fault
        await asyncio.sleep(self.rng.uniform(0.5, 2))
        for leaf in chosen:
            leaf.fault = None
        return f"leafs {fault}"

    async def fault_leafs_endless(self):
        """Some leafs send answers without end."""
        chosen = self.rng.sample(self.leafs, max(1, len(self.leafs) // 5))
        fault = self.rng.choice(ENDLESS_FAULTS)
        for leaf in chosen:
            leaf.fault = fault
        await asyncio.sleep(self.rng.uniform(1, 4))
        for leaf in chosen:
            leaf.fault = None
        return f"leafs {fault}"

    async def fault_leaf_hang(self):
        """Some leafs of long requests take them and are silent, beyond a stop of a host."""
        chosen = [leaf for leaf in self.leafs if leaf.service == "lookup"]
        for leaf in self.rng.sample(chosen, max(1, len(chosen) // 2)):
            leaf.fault, leaf.share = "silent", 1.0
        await asyncio.sleep(self.rng.uniform(4, 8))
        for leaf in chosen:
            leaf.fault, leaf.share = None, 0.5
        return "leafs hang"

    async def fault_leaf_limits(self):
        service = self.rng.choice(sorted({leaf.service for leaf in self.leafs}))
        chosen = [leaf for leaf in self.leafs if leaf.service == service and not leaf.limit
                  and self.rng.random() < 0.7]
        lasts = min(self.rng.uniform(5, 11), self.until - time.monotonic())
        changes_after = lasts * self.rng.random()
        for leaf in chosen:
            leaf.name_limit(self.rng.choice(LIMITS))
        await asyncio.sleep(changes_after)
        for leaf in chosen:
            leaf.name_limit(leaf.limit.rate * self.rng.choice([0.5, 1, 1, 2]))
        await asyncio.sleep(lasts - changes_after)
        for leaf in chosen:
            leaf.name_limit(None)
        return "leafs limited"

    async def fault_leaf_lost(self):
        leaf = self.rng.choice(self.leafs)
        await leaf.stop()
        self.leafs.remove(leaf)
        await asyncio.sleep(self.rng.uniform(0.5, 2))
        self.store.delete(leaf.key)
        (await self.add_leaf(leaf.service, leaf.zone, starts_cold=True)).work = leaf.work
        return "leaf lost"

    async def fault_leaf_leaves(self):
        leaf = self.rng.choice(self.leafs)
        (await self.add_leaf(leaf.service, leaf.zone, starts_cold=True)).work = leaf.work
        leaf.is_leaving = True
        self.leafs.remove(leaf)
        await self.drills.leaf_can_write()
        leaf.write_entry()
        leaf.leaving_since = time.monotonic()
        await asyncio.sleep(max(LEAVES_AFTER_S) if self.args.plant == "said_leaving" else
                            self.rng.choice(LEAVES_AFTER_S))
        self.store.delete(leaf.key)
        await leaf.stop()
        return "leaf leaves"

    async def fault_store(self):
        self.store.mode = self.rng.choice(["silent", "reset", "busy"])
        self.store_steady_since = time.monotonic() + 60
        begin = time.monotonic()
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        mode, self.store.mode = self.store.mode, "up"
        if not self.store.is_away:
            self.store_steady_since = time.monotonic()
        self.store_outages.append((begin, time.monotonic()))
        return f"store {mode}"

    async def fault_odd_entry(self):
        """Another writer leaves entries that name no leaf, at times across a full read."""
        keys = [f"servers/{key}" for key in self.rng.sample(ODD_KEYS, 4)]
        for key in keys:
            self.store.put_bytes(key, self.rng.choice(ODD_VALUES))
        await asyncio.sleep(self.rng.uniform(0.1, 1))
        if self.rng.random() < 0.5:
            self.store.compact()
        await asyncio.sleep(self.rng.uniform(1, 4))
        for key in keys:
            self.store.delete(key)
        return "odd entries"

    async def fault_compact(self):
        self.store.compact()
        return "store compacted"

    async def fault_cut(self):
        node = self.rng.choice(self.nodes)
        node.proxy.mode = self.rng.choice(["silent", "delay", "one-way-to", "one-way-from"])
        seconds = self.rng.uniform(0.5, 3)
        self.disturb(node, seconds)
        await asyncio.sleep(seconds)
        mode, node.proxy.mode = node.proxy.mode, "pass"
        return f"store for {node.ip} {mode}"

    async def fault_reset(self):
        node = self.rng.choice(self.nodes)
        self.disturb(node, 0)
        node.proxy.reset_all()
        return "store connections reset"

    async def fault_kill(self):
        node = self.rng.choice(self.nodes)
        if not node.is_running or node.expected_end:
            return "kill skipped"
        self.disturb(node, 1)
        node.expected_end = True
        node.signal(signal.SIGKILL)
        await node.process.wait()
        await asyncio.sleep(self.rng.uniform(0.1, 1))
        await node.start()
        return f"kill {node.ip}"

    async def fault_pause(self):
        node = self.rng.choice(self.nodes)
        seconds = self.rng.uniform(0.3, 2)
        self.disturb(node, seconds)
        node.pauses.append(node.disturbances[-1])
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        node.signal(signal.SIGCONT)
        return f"pause {node.ip}"

    async def fault_term(self):
        return await self.stop_and_start(self.rng.choice(self.nodes))

    async def stop_and_start(self, node):
        if not node.is_running or node.expected_end:
            return "term skipped"
        node.planned_until = time.monotonic() + GRACE_S + 1
        self.disturb(node, GRACE_S)
        node.expected_end = True
        starting = time.monotonic() - node.started < START_S
        node.signal(signal.SIGTERM)
        others = asyncio.create_task(self.signal_again(node))
        try:
            code = await asyncio.wait_for(node.process.wait(), GRACE_S)
            if code and not (starting and code == -signal.SIGTERM):
                self.report_violation("stop", f"{node.ip} ended with {code} after SIGTERM")
        except asyncio.TimeoutError:
            if node.disturbed_until < time.monotonic() + 5:
                self.report_violation(
                    "stop", f"{node.ip} was still running {GRACE_S} s after SIGTERM")
            node.process.kill()
            await node.process.wait()
        others.cancel()
        await node.start()
        return f"term {node.ip}"

    async def signal_again(self, node):
        """Half of the stops get further signals: SIGTERM again, or SIGHUP."""
        if self.rng.random() < 0.5:
            return
        for number in self.rng.sample(SIGNALS_IN_A_STOP, self.rng.randint(1, 3)):
            await asyncio.sleep(self.rng.uniform(0.0, 2.0))
            node.signal(number)

    async def fault_terms(self):
        """Stops up to half of the hosts, so that the stops overlap."""
        count = self.rng.randint(2, max(2, len(self.nodes) // 2))
        stops = []
        for node in self.rng.sample(self.nodes, min(count, len(self.nodes))):
            stops.append(asyncio.create_task(self.stop_and_start(node)))
            await asyncio.sleep(self.rng.uniform(0.0, 1.5))
        await asyncio.gather(*stops)
        return "terms that overlap"

    async def fault_hup(self):
        for node in self.nodes:
            node.signal(signal.SIGHUP)
        return "hup"

    async def fault_config(self):
        for _ in range(self.rng.randint(1, 3)):
            await self.drills.caught_up()
            self.put_configuration()
            await asyncio.sleep(self.rng.uniform(0.02, 0.8))
        return "configuration"

    async def inject(self, until):
        self.until = until
        names = self.args.kinds.split(",") if self.args.kinds else sorted(
            name.removeprefix("fault_") for name in dir(self) if name.startswith("fault_"))
        if not self.args.kinds and not self.args.cold_per_s:
            names = [name for name in names if name not in COLD_KINDS]
        if self.args.planned:
            names = ["term", "terms", "hup", "config", "leaf_leaves", "leaf_hang"]
        kinds = [getattr(self, f"fault_{name}") for name in names]
        tasks = []
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(0.1, 1.2))
            tasks.append(asyncio.create_task(self.rng.choice(kinds)()))
        for name in await asyncio.gather(*tasks):
            self.done[name.split(" 127")[0]] = self.done.get(name.split(" 127")[0], 0) + 1

    # Checks over the whole run.
    async def measure_memory(self):
        """Verifies that no host uses more memory than its settings allow."""
        allowed = 1.0 if self.args.plant == "memory" else self.args.memory_mb
        exceeded = set()
        while True:
            for node in self.nodes:
                if not node.is_running:
                    continue
                used = node.peak_memory_mb()
                self.peak_memory_mb = max(self.peak_memory_mb, used)
                if used > allowed and node.process.pid not in exceeded:
                    exceeded.add(node.process.pid)
                    self.report_violation(
                        "memory", f"{node.ip} used {used:.0f} MB, {allowed:g} MB allowed")
            await asyncio.sleep(MEMORY_READ_S)

    def requests_for(self, service, start, end):
        """Requests that callers sent for a service, whether they arrived or not; None for
        services that not every configuration uses."""
        always_shards = [f"s{n}" for n in range(SHARDS - 1)]
        kinds = {"desk": ("one", "order"), "lookup": ("lookup",), "large": ("large",)}
        kinds |= {one: ("all",) for one in always_shards}
        if service not in kinds:
            return None
        return sum(start <= at < end and kind in kinds[service] for at, kind in self.requests)

    def check_budget(self):
        firsts = set()
        events = {}
        for at, service, request in self.arrivals:
            first = (service, request) not in firsts
            firsts.add((service, request))
            events.setdefault(service, []).append((at, first))
        for service, list_ in events.items():
            for start, _ in list_[:: max(1, len(list_) // 50)]:
                inside = [first for at, first in list_ if start <= at < start + 10]
                repeats = inside.count(False)
                requests = self.requests_for(service, start, start + 10)
                if requests is None:
                    requests = inside.count(True)
                if repeats > 0.2 * requests + 40:
                    self.report_violation(
                        "budget", f"{service}: {repeats} repeats of {requests} requests")
                    return

    def check_limits(self):
        for leaf in self.all_leafs:
            for limit in leaf.limits:
                self.limits_checked += 1
                excess = limit.excess()
                if excess:
                    self.report_violation(
                        "limit", f"{leaf.id} of {leaf.service}: {excess[0]} requests in 4 s, "
                        f"{excess[1]:.0f} allowed, {excess[2]:.1f} s after it named "
                        f"{limit.changes}")

    def check_said_leaving(self, callers):
        for leaf in self.all_leafs:
            self.leaving_pairs += len(leaf.said.passed_on_first(callers.passed_on))
            for ip, request, after in leaf.said.late(callers.passed_on, callers.sent):
                self.report_violation(
                    "said_leaving", f"{leaf.id} of {leaf.service} received {request} from {ip}, "
                    f"sent {after:.2f} s after that had passed on that it leaves")

    # Each failed request in the logs must have a cause in the logs.
    def check_explained(self):
        logs = sorted(str(path) for path in self.folder.glob("node-*.log"))
        failed = set()
        for path in logs:
            with open(path, errors="replace") as lines:
                for line in lines:
                    if " event=request " in line and " outcome=answered " not in line:
                        failed.add(line.split(" request=")[1].split(" ")[0])
        for request in sorted(failed)[:EXPLAINED_REQUESTS]:
            done = subprocess.run([self.args.ctl, "explain", request, *logs, "--json"],
                                  capture_output=True, text=True, timeout=60)
            causes = [end["cause"] for end in json.loads(done.stdout or '{"ends": []}')["ends"]]
            if not causes or any(cause.startswith("no line tells") for cause in causes):
                self.report_violation("explain", f"{request}: {causes or done.stderr}")
                return


async def play(args, seed):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="basilpath-soak-"))
    world = World(args, seed, folder)
    await world.build()
    callers = Callers(world)
    await callers.await_ready()
    until = time.monotonic() + args.seconds
    stalls = asyncio.create_task(callers.measure_stalls())
    memory = asyncio.create_task(world.measure_memory())
    copies = asyncio.create_task(world.drills.take_copies())
    tasks = [asyncio.create_task(callers.run(number, until)) for number in range(args.callers)]
    await world.inject(until)
    await asyncio.gather(*tasks)
    stalls.cancel()
    await callers.check_served()
    memory.cancel()
    copies.cancel()
    await world.stop()
    world.check_budget()
    world.check_limits()
    world.check_cold(callers.stalls)
    world.check_said_leaving(callers)
    callers.check_once()
    if args.planned:
        callers.check_lost()
    if args.ctl:
        world.check_explained()
    verdict = "ok" if not world.violations else "BROKEN"
    print(f"seed {seed}: {verdict}; {callers.summary()}; faults {sum(world.done.values())}; "
          f"limits {world.limits_checked}; evacuations {world.evacuations.begun}, "
          f"last request after {world.evacuations.latest_s:.2f} s, "
          f"{world.evacuations.excused} excused; "
          f"cold {sum(len(leaf.cold.spans) for leaf in world.all_leafs)}, "
          f"at most {world.most_while_cold} requests in a second; "
          f"drills {world.drills.played}, versions checked {callers.versions_checked}, "
          f"hosts that heard of leaving leafs {world.leaving_pairs}; "
          f"memory {world.peak_memory_mb:.0f} MB; store calls {world.store.calls}", flush=True)
    if world.violations:
        print(f"  logs: {folder}", flush=True)
    else:
        shutil.rmtree(folder)
    return {promise for promise, _ in world.violations}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program", help="path of basilpath-node")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of consecutive seeds to run")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--nodes", type=int, default=5)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--keepers", type=int, default=0,
                        help="number of callers that use a connection until it ends")
    parser.add_argument("--planned", action="store_true", help="only planned operations, no faults")
    parser.add_argument("--kinds", help="comma-separated names of faults; default all")
    parser.add_argument("--plant", choices=["mixed", "twice", "budget", "drain", "limit", "lost",
                                              "pipelined", "cut", "memory", "evac", "cold",
                                              "config", "said_leaving"],
                        help="inject a violation; the run must fail")
    parser.add_argument("--memory-mb", type=float, default=128.0,
                        help="memory that the settings allow a host, and that none may exceed")
    parser.add_argument("--cold-per-s", type=float, default=0.0,
                        help="requests a second that a cold leaf tolerates; 0: none is cold")
    parser.add_argument("--cold-start-s", type=float, default=3.0,
                        help="time for which leafs are cold")
    parser.add_argument("--ctl", help="path of basilpathctl; verifies that the logs "
                        "explain each failed request")
    args = parser.parse_args()
    args.program = str(pathlib.Path(args.program).resolve())
    broken = [asyncio.run(play(args, seed)) for seed in range(args.seed, args.seed + args.seeds)]
    good = [not promises for promises in broken]
    if args.plant:
        is_caught = not any(good) and (args.plant not in NAMED_PLANTS
                                       or all(args.plant in promises for promises in broken))
        print(f"planted {args.plant}: {'caught' if is_caught else 'MISSED'}")
        return 0 if is_caught else 1
    print(f"{good.count(True)} passed, {good.count(False)} failed")
    return 0 if all(good) else 1


if __name__ == "__main__":
    sys.exit(main())
