"""A service whose weight the operator has set to 0 still runs many requests."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
import world as w  # noqa: E402

SERVICES = ["branch-close", "branch-close-b", "branch-close-c"]
WITHDRAWN = SERVICES[2]
APPLY_S = w.BOUNDS["configApplyMs"] / 1000
BEFORE, AFTER = 20, 120
# The operator first wrote weights in percent, then as fractions.
SPLIT = [34, 33, 33]
WITHOUT = [0.5, 0.5, 0]


def routes(weights):
    split = [{"backend": name, "weight": weight} for name, weight in zip(SERVICES, weights)]
    return [w.route("ledger", "/ledger/", "non_idempotent", trafficSplit=split)]


async def post(world, node, request):
    answer = await w.ask(node.front, "POST", "/ledger/2f",
                         {"Host": w.HOST, "X-Request-Id": request, "X-Deadline-Ms": "6000"},
                         f"entry {request}".encode())
    world.sent[request] = answer[0] if answer else None
    by = [one[1].service for one in world.runs.get(request, [])]
    world.record(f"sent {request} to {node.ip}, answered {world.sent[request]}, run by {by}")
    return by


async def run(world):
    for service in SERVICES:
        for zone in world.zones:
            await world.add_leaf(service, zone)
    services = {name: {} for name in SERVICES}
    # Without the disruption the withdrawn service has no weight from the start.
    first = SPLIT if w.trouble() else WITHOUT
    world.put_config(7, routes(first), services)
    await world.start_nodes(2)
    for number, node in enumerate(world.nodes):
        for count in range(BEFORE):
            await post(world, node, f"{number:04x}{count:06x}")
    acknowledged = world.put_config(11, routes(WITHOUT), services)
    await asyncio.sleep(APPLY_S + 2)
    world.record(f"{time.monotonic() - acknowledged:.1f} s after the acknowledgement")
    stale = 0
    for number, node in enumerate(world.nodes):
        for count in range(AFTER):
            stale += WITHDRAWN in await post(world, node, f"{number:04x}{1000 + count:06x}")
    return stale > 0, (f"{stale} of {AFTER * len(world.nodes)} requests sent later than "
                       "configApplyMs after the acknowledgement were run by the service "
                       "without weight")


sys.exit(w.main(__file__, run))
