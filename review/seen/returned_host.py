"""A host that has returned stays out of the others' directory: seen, no case.

    python3 review/seen/returned_host.py [SECONDS_DOWN]

Three nodes; the third is killed and started again. The directory of the first
is asked for 16 s after the third is ready. Exits with 1 if it never names the
third, 0 if it does.
"""

import asyncio
import json
import pathlib
import signal
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from deployment import Deployment, Leaf, Record, read_head  # noqa: E402

LOOK_S = 16


async def listed(node):
    """The addresses that the directory of a node names."""
    reader, writer = await asyncio.open_connection(node.ip, node.base + 3)
    writer.write(b"GET /resolve?name=h&region=west-lk&zone=west-lk-a HTTP/1.1\r\nHost: h\r\n\r\n")
    head = await read_head(reader)
    body = await reader.readexactly(int(head[1]["content-length"]))
    writer.close()
    return json.loads(body)["addrs"]


async def main():
    down_s = float(sys.argv[1]) if len(sys.argv) > 1 else 3.0
    with tempfile.TemporaryDirectory() as folder:
        record = Record(folder)
        deployment = Deployment(3)
        leaf = Leaf(deployment, record, "audit-trail", 0)
        try:
            await deployment.store.start()
            await leaf.start()
            deployment.put_configuration([
                {"name": "ledger", "host": "h", "prefix": "/ledger/", "type": "idempotent",
                 "timeoutMs": 6000, "targetLatencyMs": 400, "attempts": 2, "priority": 2,
                 "backend": "audit-trail"}], {"audit-trail": 110})
            if not await deployment.start():
                record.close("a node did not get ready")
                return 2
            await asyncio.sleep(3)
            first, _, third = deployment.nodes
            address = f"{third.ip}:{third.base}"
            if address not in await listed(first):
                record.close("the third node was not listed before")
                return 2
            third.process.send_signal(signal.SIGKILL)
            await third.process.wait()
            await asyncio.sleep(down_s)
            gone = address not in await listed(first)
            await third.start(first=False)
            if not await third.ready():
                record.close("the third node did not get ready again")
                return 2
            back_after = None
            for second in range(LOOK_S):
                await asyncio.sleep(1)
                if address in await listed(first):
                    back_after = second + 1
                    break
        finally:
            await deployment.stop()
        record.close(f"down {down_s} s, delisted meanwhile: {gone}; listed again after "
                     f"{back_after} s" if back_after else
                     f"down {down_s} s, delisted meanwhile: {gone}; not listed {LOOK_S} s later")
        return 0 if back_after else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
