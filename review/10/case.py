"""A kept connection that was idle while the configuration raised the limits keeps the old ones."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
import world as w  # noqa: E402

SERVICE = "branch-close"
CONNECTIONS = 20
APPLY_S = w.BOUNDS["configApplyMs"] / 1000
LOW = dict(w.LIMITS, maxBodyBytes=16384)
BODY = b"x" * 60_000


async def post(world, reader, writer, request, body):
    writer.write(w.message("POST /ledger/2f HTTP/1.1",
                           [("Host", w.HOST), ("X-Request-Id", request),
                            ("X-Deadline-Ms", "6000")], body))
    try:
        async with asyncio.timeout(6):
            answer = await w.read_answer(reader)
    except (OSError, TimeoutError):
        answer = None
    world.sent[request] = answer[0] if answer else None
    world.record(f"sent {request} of {len(body)} bytes, answered {world.sent[request]}")
    return answer


async def run(world):
    for zone in world.zones:
        await world.add_leaf(SERVICE, zone)
    routes = [w.route("ledger", "/ledger/", "non_idempotent", backend=SERVICE)]
    world.put_config(7, routes, {SERVICE: {}}, LOW if w.trouble() else w.LIMITS)
    await world.start_nodes(2)
    kept = []
    for number in range(CONNECTIONS):
        host, port = world.nodes[number % 2].front.rsplit(":", 1)
        pair = await asyncio.open_connection(host, int(port))
        kept.append(pair)
        await post(world, *pair, f"{number:08x}", b"short")
    acknowledged = world.put_config(11, routes, {SERVICE: {}}, w.LIMITS)
    await asyncio.sleep(APPLY_S + 1)
    world.record(f"{time.monotonic() - acknowledged:.1f} s after the acknowledgement")
    denied = 0
    for number, pair in enumerate(kept):
        answer = await post(world, *pair, f"{number + 1000:08x}", BODY)
        denied += bool(answer and answer[0] in (413, 431))
        pair[1].close()
    return denied > 5, (f"{denied} of {CONNECTIONS} proper requests on kept connections ended "
                        "with a 4xx of the host")


sys.exit(w.main(__file__, run))
