"""Callers that follow the directory."""

import asyncio
import json
import random
import time

from deployment import Client


class DirectoryCaller:
    """A client with one kept connection, to an address that the directory names.

    It sends one request after the other, with a deadline, and waits after a 503
    as the node tells it. After a failure it goes to another address.
    """

    def __init__(self, number, deployment, record, deadline_s, method="GET"):
        self.number, self.deployment, self.record = number, deployment, record
        self.deadline_s, self.method = deadline_s, method
        self.rng = random.Random(number)
        self.addresses, self.until = [], 0.0
        self.client = None

    async def resolve(self):
        nodes = self.deployment.nodes[:]
        self.rng.shuffle(nodes)
        for node in nodes:
            asked = Client(Silent(), (node.ip, node.base + 3))
            answer = await asked.call("", ["GET /resolve?name=h&region=west-lk&zone=west-lk-a "
                                           "HTTP/1.1", "Host: d"], timeout=1.0)
            asked.close()
            if isinstance(answer, tuple) and answer[0] == 200:
                content = json.loads(answer[2])
                self.addresses = [(one.split(":")[0], int(one.split(":")[1]))
                                  for one in content["addrs"]]
                self.until = time.monotonic() + content["ttl_s"]
                return

    async def run(self, until, log):
        step = 0
        await asyncio.sleep(self.rng.uniform(0, 2))
        while time.monotonic() < until:
            if time.monotonic() >= self.until:
                await self.resolve()
            if self.client and self.client.front not in self.addresses:
                self.client.close()
                self.client = None
            if not self.addresses:
                await asyncio.sleep(0.05)
                continue
            if self.client is None:
                self.client = Client(self.record, self.rng.choice(self.addresses))
            step += 1
            request = f"r{self.number:02d}{step:05d}"
            front = self.client.front
            sent = time.monotonic()
            answer = await self.client.call(request, [
                f"{self.method} /ledger/{request} HTTP/1.1", "Host: h", f"X-Request-Id: {request}",
                f"X-Deadline-Ms: {int(self.deadline_s * 1000)}",
                *(["Content-Length: 0"] if self.method == "POST" else [])],
                timeout=self.deadline_s)
            ended = time.monotonic()
            said = answer if isinstance(answer, str) else answer[0]
            self.record.add(f"client gets {said} for {request} from {front[0]} after "
                            f"{ended - sent:.3f} s")
            log.append((request, front, sent, ended, said))
            if isinstance(answer, str):
                self.client.close()
                self.client = None
                self.addresses = [one for one in self.addresses if one != front]
                await asyncio.sleep(0.05)
            elif answer[0] == 503:
                await asyncio.sleep(min(2.0, float(answer[1].get("retry-after", "0.1"))))
        if self.client:
            self.client.close()


class Silent:
    def add(self, text):
        pass
