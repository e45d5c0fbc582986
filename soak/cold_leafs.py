"""Cold leafs, and the check that all hosts together keep within what they tolerate.

The platform's rule: in any WINDOW_S a cold leaf gets at most OVERAGE times the `coldPerS` of
its service and SLACK requests more, from all hosts together, in touch or not; requests that
get 421 do not count, and a request counts if it was sent and arrived inside the window. A
leaf that becomes cold by surprise counts from KNOWN_S later, or CONTACT_S after the store is
back, since no host can know before its entry says so.
"""

import asyncio
import time

from limits import CONTACT_S

HEARTBEAT_S = 1.0
# From a surprise until the entry is written and every host has it.
KNOWN_S = HEARTBEAT_S + 1.0
WINDOW_S = 1.0
OVERAGE = 1.5
SLACK = 5
# How much longer a cold leaf works.
SLOWDOWN = 1.6
# Time after a stall of this process in which requests that waited are still being read.
STALL_TAIL_S = 0.02


def allowed_a_window(per_s):
    return per_s * OVERAGE + SLACK


class ColdSpan:
    """A span of time in which a leaf is cold."""

    def __init__(self, begin, end, is_known):
        self.begin, self.end, self.is_known = begin, end, is_known

    def counted_from(self, outages):
        """The time from which requests count, given the outages of the store in order."""
        if self.is_known:
            return self.begin
        known = self.begin + KNOWN_S
        for begin, end in outages:
            if begin <= known and end >= self.begin - CONTACT_S:
                known = max(known, end + CONTACT_S)
        return known


class ColdLeaf:
    """When one leaf was cold and what arrived at it then."""

    def __init__(self):
        self.spans, self.arrivals = [], []

    def become_cold(self, seconds, is_known):
        now = time.monotonic()
        self.spans.append(ColdSpan(now, now + seconds, is_known))

    def left_s(self, now=None):
        now = time.monotonic() if now is None else now
        return max([span.end - now for span in self.spans if span.end > now], default=0.0)

    def note_arrival(self, now=None):
        now = time.monotonic() if now is None else now
        if self.left_s(now):
            self.arrivals.append(now)

    def most(self, outages=(), stalls=()):
        """Returns the most requests that count in a window, and when it begins."""
        spans = [(span.counted_from(outages), span.end) for span in self.spans]
        counted = []
        for at in self.arrivals:
            if any(begin <= at <= end for begin, end in spans):
                # A request that arrives with the end of a stall may have been sent in it.
                sent = [since for since, until in stalls if since <= at <= until + STALL_TAIL_S]
                counted.append((min([at, *sent]), at))
        return max([(sum(sent >= start and at < start + WINDOW_S for sent, at in counted), start)
                    for start, _ in counted], default=(0, 0.0))


class ColdFaults:
    """What makes leafs of a world cold, and the check of all of them."""

    def become_cold(self, leafs, is_known=False, writes_at_once=False):
        """Makes leafs cold for the time that their service names. Unless they write at once,
        their entries say so at their next heartbeats."""
        if not self.args.cold_per_s:
            return
        for leaf in leafs:
            was_cold = leaf.cold.left_s() > 0
            leaf.cold.become_cold(self.args.cold_start_s, is_known)
            if writes_at_once and leaf.key in self.store.items:
                leaf.write_entry()
            if not was_cold:
                asyncio.create_task(self._heartbeats(leaf, self.rng.random() * HEARTBEAT_S))

    async def _heartbeats(self, leaf, first_s):
        """Writes a leaf's entry until it says that the leaf is not cold any more."""
        await asyncio.sleep(first_s)
        while leaf.is_listening and leaf.key in self.store.items:
            is_cold = leaf.cold.left_s() > 0
            leaf.write_entry()
            if not is_cold:
                return
            await asyncio.sleep(HEARTBEAT_S)

    async def fault_leaf_cold(self):
        """Leafs of a service become cold again by surprise."""
        service = self.rng.choice(sorted({leaf.service for leaf in self.leafs}))
        chosen = [leaf for leaf in self.leafs if leaf.service == service
                  and (self.args.plant == "cold" or self.rng.random() < 0.7)]
        self.become_cold(chosen)
        if self.args.plant == "cold":
            await asyncio.sleep(KNOWN_S)
            await self.send_health_checks(
                chosen[0], 2 * int(allowed_a_window(self.args.cold_per_s) + 1))
        await asyncio.sleep(max(0.0, min(self.args.cold_start_s, self.until - time.monotonic())))
        return "leafs cold"

    def check_cold(self, stalls):
        allowed = allowed_a_window(self.args.cold_per_s)
        for leaf in self.all_leafs:
            inside, start = leaf.cold.most(self.store_outages, stalls)
            self.most_while_cold = max(self.most_while_cold, inside)
            if inside > allowed:
                spans = ", ".join(f"{span.begin - start:+.2f} to {span.end - start:+.2f} s"
                                  f"{'' if span.is_known else ' by surprise'}"
                                  for span in leaf.cold.spans)
                self.report_violation(
                    "cold", f"{leaf.id} of {leaf.service} in zone {leaf.zone} received {inside} "
                    f"requests within 1 s of {start:.2f}, {allowed:g} allowed; cold {spans} "
                    "from then")
