"""Evacuations of zones, and the check that nothing is sent to their leafs.

The platform's rule: later than EVACUATE_S after the store acknowledged `op/evacuate/ZONE`,
and before the operator takes it back, no request arrives at a leaf of the zone from a host
in touch, health checks included; requests that get 421 do not count. A host is in touch if
neither it nor the store was disturbed in the CONTACT_S before. A compaction of the store is
no excuse here, which is stricter than the platform's rule.
"""

import asyncio
import time

from limits import CONTACT_S, host_of_connection

EVACUATE_S = 3.0
ZONES = "ab"
# Time before its evacuation at which a zone's leafs may become cold.
COLD_BEFORE_S = (0.1, 0.5)
STORE_POLL_S = 0.05
PREFIX = "op/evacuate/"
VALUES = [b"", b"{}", b"[]", b"{", b"null", b'{"zone":"b"}', b"\xff\xfe\x00", b"a" * 5000]
ODD_KEYS = [PREFIX, PREFIX + "nowhere", PREFIX + "A", PREFIX + "a/b", PREFIX + " a",
            "op/evacuate", "op/evacuated/a", "op/evacuat"]


class Evacuations:
    """The evacuations in force and what arrived at leafs of their zones."""

    def __init__(self, world):
        self.world = world
        self.acknowledged = {}
        self.begun = self.excused = 0
        self.latest_s = 0.0

    def begin(self, zone, value):
        self.world.store.put_bytes(PREFIX + zone, value)
        self.acknowledged[zone] = time.monotonic()
        self.begun += 1

    def rewrite(self, zone, value):
        """Puts the item again, which begins no new evacuation."""
        if zone in self.acknowledged:
            self.world.store.put_bytes(PREFIX + zone, value)

    def end(self, zone):
        del self.acknowledged[zone]
        self.world.store.delete(PREFIX + zone)

    def is_late(self, zone, now):
        """Whether no request may arrive at a leaf of a zone any more."""
        since = self.acknowledged.get(zone)
        return since is not None and now - since > EVACUATE_S

    def is_in_touch(self, node, now):
        return (now - node.started >= CONTACT_S
                and not node.was_disturbed(now - CONTACT_S, now)
                and now - self.world.store_steady_since >= CONTACT_S)

    def note_arrival(self, leaf, path, connection):
        """Verifies that a request with two ends of a connection may arrive at a leaf."""
        now = time.monotonic()
        if leaf.zone in self.acknowledged:
            self.latest_s = max(self.latest_s, now - self.acknowledged[leaf.zone])
        if not self.is_late(leaf.zone, now):
            return
        node = host_of_connection(self.world.nodes, *connection)
        if node is None and self.world.args.plant == "evac":
            node = self.world.nodes[0]
        if node is None or not self.is_in_touch(node, now):
            self.excused += 1
            return
        after = now - self.acknowledged[leaf.zone]
        self.world.report_violation(
            "evac", f"{leaf.id} of {leaf.service} received {path} from {node.ip} {after:.2f} s "
            f"after the evacuation of zone {leaf.zone} was acknowledged")


class EvacuationFaults:
    """The faults of a world that evacuate zones."""

    async def fault_evacuate(self):
        return await self._evacuate(cold_before=False)

    async def fault_evacuate_cold(self):
        """The leafs of the zones become cold shortly before."""
        return await self._evacuate(cold_before=True)

    async def _evacuate(self, cold_before):
        zones = [zone for zone in self.rng.choice([ZONES, *ZONES, *ZONES])
                 if zone not in self.zones_taken]
        if not zones:
            return "evacuation skipped"
        self.zones_taken.update(zones)
        leafs = [leaf for leaf in self.leafs if leaf.zone in zones]
        if cold_before:
            self.become_cold(leafs)
            await asyncio.sleep(self.rng.uniform(*COLD_BEFORE_S))
        await self._store_up()
        for zone in zones:
            self.evacuations.begin(zone, self.rng.choice(VALUES))
        odd_keys = self.rng.sample(ODD_KEYS, self.rng.choice([0, 0, 3]))
        for key in odd_keys:
            self.store.put_bytes(key, self.rng.choice(VALUES))
        lasts = EVACUATE_S + self.rng.uniform(0.5, 3.5)
        if self.rng.random() < 0.2 and self.args.plant != "evac":
            lasts = self.rng.uniform(0.2, 2.0)
        lasts = max(0.0, min(lasts, self.until - time.monotonic()))
        await asyncio.sleep(lasts / 2)
        if self.rng.random() < 0.3:
            self.evacuations.rewrite(zones[0], self.rng.choice(VALUES))
        await asyncio.sleep(lasts / 2)
        if self.args.plant == "evac" and self.evacuations.is_late(zones[0], time.monotonic()):
            leaf = next(one for one in self.leafs if one.zone == zones[0])
            await self.send_health_checks(leaf, 1)
        await self._store_up()
        for zone in zones:
            # Hosts must take the leafs for cold whether their entries say so yet or not.
            if not cold_before:
                self.become_cold([leaf for leaf in self.leafs if leaf.zone == zone],
                                 is_known=True, writes_at_once=self.rng.random() < 0.5)
            self.evacuations.end(zone)
            self.zones_taken.discard(zone)
        for key in odd_keys:
            self.store.delete(key)
        return "evacuation"

    async def _store_up(self):
        """Waits until the store acknowledges what the operator writes."""
        await self.drills.caught_up()
        while self.store.mode != "up":
            await asyncio.sleep(STORE_POLL_S)
            await self.drills.caught_up()

    async def send_health_checks(self, leaf, count):
        """Sends requests to a leaf in one write, as a plant."""
        reader, writer = await asyncio.open_connection(leaf.host, leaf.port)
        writer.write(b"GET /health HTTP/1.1\r\nHost: leaf\r\n\r\n" * count)
        for _ in range(count):
            await reader.readuntil(b"\r\n\r\n")
        writer.close()
