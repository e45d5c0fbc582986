"""Drills of the store: it is away for a moment and comes back from a copy some seconds old.

By the users' pages only a drill loses what the store has acknowledged. Its revisions go back
and are given out again, and its era rises by one. What the operator and the leafs wrote since
the copy is written again: by the operator soon, by each leaf at its next registration, and the
entries of leafs that are gone are removed after three heartbeats without one.
"""

import asyncio
import math
import time

COPY_EACH_S = 0.25
COPY_AGE_S = (2.0, 6.0)
AWAY_S = (0.1, 2.0)
# Times after the return within which writers write again.
OPERATOR_WRITES_S = 1.0
LEAF_WRITES_S = 2.0
REMOVAL_S = 3.0
# Time from the operator's own writes to the next version.
NEXT_VERSION_S = (0.0, 2.5)
# What the operator and another writer write just before a drill, so that the store loses it.
# The more often one item was written, the further the revisions go back for long.
LOST_VERSIONS = [0, 1, 3]
LOST_ODD_ENTRIES = [0, 20, 40]
LOST_EACH_S = 0.03
ODD_KEY = "servers/written-often"
# Times between two drills, most of which leave hosts in touch for a while.
NEAR_S, FAR_S = (0.2, 2.0), (7.0, 10.0)
NEAR_SHARE = 0.3
LEAVES_SHARE = 0.5
POLL_S = 0.05


class Drills:
    """The copies of the store, and whether its writers have caught up."""

    def __init__(self, world):
        self.world = world
        self.copies = []
        self.next_at = 0.0
        self.operators_behind = 0
        self.played = 0

    async def take_copies(self):
        while True:
            now = time.monotonic()
            if not self.world.store.is_away:
                self.copies.append((now, self.world.store.copy()))
            self.copies = [one for one in self.copies if now - one[0] <= COPY_AGE_S[1]]
            await asyncio.sleep(COPY_EACH_S)

    def choose_copy(self, rng):
        """A copy of an age that is chosen, or None while there is none old enough."""
        taken = time.monotonic() - rng.uniform(*COPY_AGE_S)
        old = [one for one in self.copies if time.monotonic() - one[0] >= COPY_AGE_S[0]]
        return min(old, key=lambda one: abs(one[0] - taken))[1] if old else None

    async def caught_up(self):
        """Waits until the store is there and holds again what the operator wrote."""
        while self.world.store.is_away or self.operators_behind:
            await asyncio.sleep(POLL_S)

    async def leaf_can_write(self):
        """Waits until a leaf's entry is accepted: at the leaf's own time after an outage."""
        store = self.world.store
        while not store.serves:
            while not store.serves:
                await asyncio.sleep(POLL_S)
            await asyncio.sleep(self.world.rng.uniform(0.0, LEAF_WRITES_S))

    async def write_operator_again(self):
        await asyncio.sleep(self.world.rng.uniform(0.0, OPERATOR_WRITES_S))
        for key in self.world.store.lost_keys("op/"):
            self.world.store.write_latest(key)
        self.operators_behind -= 1

    async def write_entry_again(self, key):
        store = self.world.store
        is_removal = key not in store.latest
        await asyncio.sleep(self.world.rng.uniform(0.0, REMOVAL_S if is_removal else LEAF_WRITES_S))
        if store.is_away or key not in store.lost_keys("servers/"):
            return
        leaf = next((one for one in self.world.all_leafs if one.key == key), None)
        if leaf is None or key not in store.latest:
            store.write_latest(key)
        elif leaf.is_listening:
            leaf.write_entry()


class DrillFaults:
    """The fault of a world that plays a drill."""

    async def fault_store_drill(self):
        drills, store = self.drills, self.store
        if not drills.choose_copy(self.rng) or time.monotonic() < drills.next_at:
            return "drill skipped"
        drills.next_at = math.inf
        for _ in range(self.rng.choice(LOST_VERSIONS)):
            self.put_configuration()
            await asyncio.sleep(self.rng.uniform(0.0, 2 * LOST_EACH_S))
        for number in range(self.rng.choice(LOST_ODD_ENTRIES)):
            store.put(ODD_KEY, number)
            await asyncio.sleep(LOST_EACH_S)
        copy = drills.choose_copy(self.rng)
        drills.played += 1
        drills.operators_behind += 1
        begin = time.monotonic()
        self.store_steady_since = begin + 60
        store.go_away()
        leaves = []
        if self.rng.random() < LEAVES_SHARE:
            leaves.append(asyncio.create_task(self.fault_leaf_leaves()))
        await asyncio.sleep(self.rng.uniform(*AWAY_S))
        await store.come_back(copy)
        back = time.monotonic()
        self.store_outages.append((begin, back))
        if store.mode == "up":
            self.store_steady_since = back
        drills.next_at = back + self.rng.uniform(
            *(NEAR_S if self.rng.random() < NEAR_SHARE else FAR_S))
        entries = [asyncio.create_task(drills.write_entry_again(key))
                   for key in store.lost_keys("servers/")]
        await drills.write_operator_again()
        await asyncio.sleep(self.rng.uniform(*NEXT_VERSION_S))
        await drills.caught_up()
        if self.args.plant == "config":
            store.dropped_keys.add("op/config")
        self.put_configuration()
        await asyncio.gather(*entries, *leaves)
        store.delete(ODD_KEY)
        return "drill"
