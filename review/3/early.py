"""Leafs that reject long requests before they are in: case 3."""

import asyncio
import pathlib
import random
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from deployment import Client, Deployment, Leaf, Record, trouble  # noqa: E402

SECONDS = 80
LEAFS = 2
CLIENTS = 12
SHARE = 0.5  # of the leafs
EARLY = 0.05  # of their answers
EPISODE_S = 5.0
EPISODE_INTERVAL_S = 8.0
READ_ON_S = 0.5
ETHERNET_MSS = 1460


def body_of(request):
    """The body of a request: its id over and over, 150 to 250 kB."""
    length = 150_000 + (int(request[1:]) * 7919) % 100_000
    return (request.encode() * (length // len(request) + 1))[:length]


class EarlyLeaf(Leaf):
    """Answers part of the long requests before their body is in, and reads on later."""

    read_ahead = 4_096
    rejects_early = False
    early = 0

    def listen_socket(self):
        # The MSS of loopback is 64 kB, and buffers grow with it. That of an
        # Ethernet keeps them at the size that they have between machines.
        one = socket.socket()
        one.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_MSS)
        one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        one.bind((self.host, 0))
        one.listen(128)
        return one

    async def serve(self, head, reader, writer):
        first, headers = head
        request = headers.get("x-request-id", "")
        if first[1] == "/health":
            return await super().serve(head, reader, writer)
        if request not in SENT or first[:2] != ["POST", f"/ledger/{request}"]:
            self.broken(f"{first} {request!r} is a request that no client sent")
            return False
        if headers.get("x-target-instance") != self.id:
            return await super().serve(head, reader, writer)
        length = int(headers.get("content-length", "-1"))
        wanted = body_of(request)
        if length != len(wanted):
            self.broken(f"{request} has a length of {length} instead of {len(wanted)}")
            return False
        if self.rejects_early and RNG.random() < EARLY:
            self.early += 1
            self.record.add(f"leaf {self.id} rejects {request} before its body is in")
            writer.write(self.answer(503, request, b"", "X-Not-Executed: 1\r\n"))
            await asyncio.sleep(READ_ON_S)
            self.record.add(f"leaf {self.id} reads on")
            got, at_end = await self.read_body(reader, length)
            if got != wanted[:len(got)]:
                at = next(at for at, byte in enumerate(got) if byte != wanted[at])
                self.broken(f"the rest of the body of {request} has other bytes from {at} of "
                            f"{length} on: {got[at:at + 40]!r} instead of "
                            f"{wanted[at:at + 40]!r}")
                return False
            if at_end:
                self.record.add(f"leaf {self.id}: connection closed in the body of {request}")
            return not at_end
        self.note_arrival(request)
        body = await reader.readexactly(length)
        if body != wanted:
            self.broken(f"{request} arrived with another body")
            return False
        return await self.run(request, first, headers, body, reader, writer)

    async def read_body(self, reader, length):
        try:
            return await reader.readexactly(length), False
        except asyncio.IncompleteReadError as ended:
            return ended.partial, True
        except ConnectionError:
            return b"", True

    def broken(self, what):
        self.record.add(f"BROKEN UNASKED at leaf {self.id}: {what}")
        BROKEN.append(what)


SENT, BROKEN, RNG = set(), [], random.Random(1)


async def garble(leafs, record, until):
    """Short disruptions, each at the same leafs."""
    chosen = leafs[:round(SHARE * len(leafs))]
    start = time.monotonic()
    while time.monotonic() < until and not BROKEN:
        begun = (time.monotonic() - start) % EPISODE_INTERVAL_S < EPISODE_S
        if begun != chosen[0].rejects_early:
            record.add(f"garble {'begins' if begun else 'ends'} at "
                       f"{', '.join(leaf.id for leaf in chosen)}")
        for leaf in chosen:
            leaf.rejects_early = begun
        await asyncio.sleep(0.02)
    for leaf in chosen:
        leaf.rejects_early = False


async def client(number, deployment, record, until, counts):
    rng = random.Random(number)
    one = Client(record, deployment.nodes[0].front)
    step = 0
    while time.monotonic() < until and not BROKEN:
        step += 1
        request = f"r{number:02d}{step:06d}"
        body = body_of(request)
        SENT.add(request)
        answer = await one.call(request, [
            f"POST /ledger/{request} HTTP/1.1", "Host: h", f"X-Request-Id: {request}",
            "X-Deadline-Ms: 6000", f"Content-Length: {len(body)}"], body)
        said = answer if isinstance(answer, str) else answer[0]
        record.add(f"client gets {said} for {request}")
        counts[said] = counts.get(said, 0) + 1
        await asyncio.sleep(rng.uniform(0.0, 0.05))
    one.close()


async def main():
    record = Record(pathlib.Path(__file__).parent)
    deployment = Deployment()
    leafs = [EarlyLeaf(deployment, record, "branch-close", number, slots=2, work=0.09)
             for number in range(LEAFS)]
    counts, ended = {}, None
    try:
        await deployment.store.start()
        for leaf in leafs:
            await leaf.start()
        deployment.put_configuration([
            {"name": "ledger", "host": "h", "prefix": "/ledger/", "type": "idempotent",
             "timeoutMs": 6000, "targetLatencyMs": 400, "attempts": 2, "priority": 2,
             "backend": "branch-close"}], {"branch-close": 110})
        if not await deployment.start():
            record.close("the node did not get ready")
            return 2
        until = time.monotonic() + SECONDS
        work = [client(number, deployment, record, until, counts) for number in range(CLIENTS)]
        if trouble():
            work.append(garble(leafs, record, until))
        await asyncio.gather(*work)
        await asyncio.sleep(1)
        ended = deployment.nodes[0].process.returncode
        if ended is not None:
            record.add(f"BROKEN the node ended by itself with {ended}")
            BROKEN.append("ended")
    finally:
        await deployment.stop()
    early = sum(leaf.early for leaf in leafs)
    runs = sum(len(leaf.ran) for leaf in leafs)
    if runs == 0 or (trouble() and early == 0):
        record.close(f"nothing to judge: {runs} runs, {early} early rejections")
        return 2
    record.close(f"{'broken' if BROKEN else 'held'}: {len(SENT)} sent, {runs} run, "
                 f"{early} rejected early; answers {counts}")
    return 1 if BROKEN else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
