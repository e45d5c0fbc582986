"""Leafs whose bytes do not end: case 4."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from deployment import Client, Deployment, Leaf, Record, trouble  # noqa: E402

SECONDS = 100
NODES = 2
LEAFS = 5
CLIENTS = 16
PAUSE_S = 1.0
SHARE = 0.6  # of the leafs
ENDLESS = 0.05  # of their answers
EPISODE_S = 5.0
EPISODE_INTERVAL_S = 8.0
BYTES_PER_S = 100_000_000  # below the 1,000 Mbit/s of a machine's link
MEMORY_MB = 260
ENDS_ALLOWED = 2  # of the processes on one machine
MACHINES_ALLOWED = 1  # with more ends than that
RESTART_S = 1.0

RNG = random.Random(1)


class EndlessLeaf(Leaf):
    """After part of its requests, sends bytes that are no answer until the caller closes."""

    spoils = False
    endless = 0

    def seconds_of(self, request):
        return min(0.54, 0.09 * RNG.lognormvariate(-0.12, 0.5))

    async def run(self, request, first, headers, body, reader, writer):
        if not (trouble() and self.spoils and RNG.random() < ENDLESS):
            return await super().run(request, first, headers, body, reader, writer)
        self.endless += 1
        self.record.add(f"leaf {self.id} runs {request} and sends a body without end")
        self.ran[request] = self.ran.get(request, 0) + 1
        writer.write(f"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n{self.load()}"
                     f"{self.signed(request)}X-Request-Id: {request}\r\n\r\n".encode())
        piece, sent, began = bytes(500_000), 0, time.monotonic()
        try:
            while sent < 10 * BYTES_PER_S:
                writer.write(piece)
                await writer.drain()
                sent += len(piece)
                await asyncio.sleep(max(0, began + sent / BYTES_PER_S - time.monotonic()))
        except OSError:
            pass
        self.record.add(f"leaf {self.id}: the caller of {request} closed after "
                        f"{sent / 1e6:.0f} MB and {time.monotonic() - began:.3f} s")
        return False


def resident_mb(process):
    """Resident memory of a process that this test started; zero when it has ended."""
    try:
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    except OSError:
        return 0.0
    return next((int(line.split()[1]) / 1024 for line in status.splitlines()
                 if line.startswith("VmRSS:")), 0.0)


async def supervise(node, record, until, ends, peaks):
    """The platform: kills a process over its memory limit, and starts it again."""
    while time.monotonic() < until:
        await asyncio.sleep(0.02)
        memory = resident_mb(node.process)
        peaks[node.ip] = max(peaks[node.ip], memory)
        if node.running() and memory <= MEMORY_MB:
            continue
        if node.running():
            record.add(f"node {node.ip} holds {memory:.0f} MB, over {MEMORY_MB}: killed")
            node.process.kill()
        code = await node.process.wait()
        ends[node.ip] += 1
        record.add(f"node {node.ip} has ended with {code}, {ends[node.ip]} times by now")
        await asyncio.sleep(RESTART_S)
        await node.start(first=False)


async def garble(leafs, record, until):
    """Short disruptions; each takes other leafs."""
    while time.monotonic() < until:
        chosen = RNG.sample(leafs, round(SHARE * LEAFS))
        record.add(f"garble begins at {', '.join(leaf.id for leaf in chosen)}")
        for leaf in leafs:
            leaf.spoils = leaf in chosen
        await asyncio.sleep(EPISODE_S)
        for leaf in leafs:
            leaf.spoils = False
        record.add("garble ends")
        await asyncio.sleep(EPISODE_INTERVAL_S - EPISODE_S)


async def client(number, deployment, record, until, counts):
    rng = random.Random(number)
    one, step = None, 0
    while time.monotonic() < until:
        step += 1
        one = one or Client(record, deployment.nodes[rng.randrange(NODES)].front)
        request = f"r{number:02d}{step:05d}"
        answer = await one.call(request, [
            f"POST /ledger/{request} HTTP/1.1", "Host: h", f"X-Request-Id: {request}",
            "X-Deadline-Ms: 6000", "Content-Length: 0"])
        said = answer if isinstance(answer, str) else answer[0]
        record.add(f"client gets {said} for {request} from {one.front[0]}")
        counts[said] = counts.get(said, 0) + 1
        if isinstance(answer, str):
            one.close()
            one = None
        await asyncio.sleep(rng.uniform(0, PAUSE_S))
    if one:
        one.close()


async def main():
    record = Record(pathlib.Path(__file__).parent)
    deployment = Deployment(NODES)
    leafs = [EndlessLeaf(deployment, record, "branch-close", number) for number in range(LEAFS)]
    counts = {}
    ends = {node.ip: 0 for node in deployment.nodes}
    peaks = {node.ip: 0.0 for node in deployment.nodes}
    try:
        await deployment.store.start()
        for leaf in leafs:
            await leaf.start()
        deployment.put_configuration([
            {"name": "ledger", "host": "h", "prefix": "/ledger/", "type": "non_idempotent",
             "timeoutMs": 6000, "targetLatencyMs": 400, "attempts": 2, "priority": 2,
             "backend": "branch-close"}], {"branch-close": 110})
        if not await deployment.start():
            record.close("a node did not get ready")
            return 2
        until = time.monotonic() + SECONDS
        await asyncio.gather(
            garble(leafs, record, until - EPISODE_INTERVAL_S),
            *(supervise(node, record, until, ends, peaks) for node in deployment.nodes),
            *(client(number, deployment, record, until, counts) for number in range(CLIENTS)))
    finally:
        await deployment.stop()
    endless = sum(leaf.endless for leaf in leafs)
    if not counts.get(200) or (trouble() and endless == 0):
        record.close(f"nothing to judge: {counts}, {endless} bodies without end")
        return 2
    often = [ip for ip, count in ends.items() if count > ENDS_ALLOWED]
    broken = len(often) > MACHINES_ALLOWED
    peak = ", ".join(f"{one:.0f}" for one in peaks.values())
    record.close(f"{'broken' if broken else 'held'}: processes ended {list(ends.values())} times, "
                 f"most memory {peak} MB; {endless} bodies without end; answers {counts}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
