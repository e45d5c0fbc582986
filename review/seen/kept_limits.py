"""Kept connections hold the old limits: seen in the review, no case.

    python3 review/seen/kept_limits.py

A version raises maxBodyBytes. Proper requests on connections that were idle at
that time, and on a new one, are sent later than configApplyMs after the
acknowledgement. Exits with 1 if one gets 413, 0 if none does.
"""

import asyncio
import pathlib
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from deployment import Client, Deployment, Leaf, Record  # noqa: E402

CLIENTS = 10
WAIT_S = 8
BODY = b"b" * 5000
ROUTES = [{"name": "ledger", "host": "h", "prefix": "/ledger/", "type": "idempotent",
           "timeoutMs": 6000, "targetLatencyMs": 400, "attempts": 2, "priority": 2,
           "backend": "audit-trail"}]


def limits(body_bytes):
    return {"maxHeaderBytes": 16384, "maxBodyBytes": body_bytes, "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000}


async def call(client, request, body):
    answer = await client.call(request, [
        "POST /ledger/1 HTTP/1.1", "Host: h", f"X-Request-Id: {request}",
        "X-Deadline-Ms: 2000", f"Content-Length: {len(body)}"], body)
    return answer if isinstance(answer, str) else answer[0]


async def main():
    with tempfile.TemporaryDirectory() as folder:
        record = Record(folder)
        deployment = Deployment(1)
        leaf = Leaf(deployment, record, "audit-trail", 0, work=0.01)
        try:
            await deployment.store.start()
            await leaf.start()
            deployment.put_configuration(ROUTES, {"audit-trail": 110}, limits(1000))
            if not await deployment.start():
                record.close("the node did not get ready")
                return 2
            front = deployment.nodes[0].front
            clients = [Client(record, front) for _ in range(CLIENTS)]
            before = [await call(one, f"a{i:04x}", b"b") for i, one in enumerate(clients)]
            deployment.put_configuration(ROUTES, {"audit-trail": 110}, limits(262_144))
            await asyncio.sleep(WAIT_S)
            kept = [await call(one, f"b{i:04x}", BODY) for i, one in enumerate(clients)]
            clients.append(Client(record, front))
            anew = await call(clients[-1], "c0000", BODY)
            for one in clients:
                one.close()
        finally:
            await deployment.stop()
        refused = kept.count(413)
        record.close(f"before {before}; {refused} of {CLIENTS} refused on kept connections: "
                     f"{kept}; on a new one: {anew}")
        return 1 if refused or anew == 413 else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
