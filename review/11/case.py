"""A drill: the store is away for two seconds and comes back from a copy five seconds old.

The operator changes the configuration once in the time that the copy lacks and
once more after the store's return. The check is CONFIG.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
import harness  # noqa: E402

LOST_S = 5.0
AWAY_S = 2.0


def route(service, timeout_ms):
    return {"name": "ledger", "host": "h.example", "prefix": "/ledger/", "type": "idempotent",
            "timeoutMs": timeout_ms, "targetLatencyMs": 400, "attempts": 2, "priority": 1,
            "backend": service}


async def scenario(world):
    record, store = world.record, world.store
    await store.start()
    for service in ("old-desk", "new-desk"):
        for zone in world.zones:
            await world.add_leaf(service, zone)
            await world.add_leaf(service, zone)
    services = ["old-desk", "new-desk"]
    first = world.configuration(11, [route("old-desk", 2000)], services)
    second = world.configuration(14, [route("old-desk", 3000)], services)
    third = world.configuration(17, [route("new-desk", 3000)], services)
    world.publish(first)
    await world.start_nodes("/ledger/0")
    await asyncio.sleep(4)

    # The copy is taken; the store runs on, and what it acknowledges now is lost.
    backup = store.copy()
    record.say(f"the copy holds revision {store.revision}")
    await asyncio.sleep(LOST_S - 1)
    world.publish(second)
    await asyncio.sleep(1)
    if world.trouble:
        record.say(f"the store goes away at revision {store.revision}")
        store.go_away()
        await asyncio.sleep(AWAY_S)
        store.restore(backup)
        store.come_back()
        record.say(f"the store is back at revision {store.revision}, era {store.era}")
        # What the operator and the leafs wrote is written again.
        for leaf in world.leafs:
            leaf.write_entry()
        world.publish(second)
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(0.3)
    acknowledged = world.publish(third)

    # From here on the store is stable. The longest bound is configApplyMs and maxSkewMs
    # after the acknowledgement.
    bound = acknowledged + harness.CONFIG_APPLY_S + harness.MAX_SKEW_S
    await asyncio.sleep(bound + 0.5 - time.monotonic())
    judged = []
    for at in range(60):
        for node in world.nodes:
            judged.append(await world.call(node, "GET", f"/ledger/{at}"))
        await asyncio.sleep(0.4)
    await asyncio.sleep(0.5)
    stale = [one for one in judged
             if any(leaf.service == "old-desk" for _, leaf, *_ in world.runs[one.request])]
    waited = judged[-1].sent - acknowledged
    record.say(f"{len(judged)} requests sent later than {bound - acknowledged:.0f} s after the "
               f"acknowledgement of version 17, the last after {waited:.1f} s: {len(stale)} ran "
               f"at the service of version 14; store at revision {store.revision}")
    record.say(f"calls of the store: {dict(store.calls)}")
    return bool(stale)


if __name__ == "__main__":
    harness.play(lambda: harness.World(HERE), scenario)
