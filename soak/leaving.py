"""Leafs that say in their answers that they leave, and the check that hosts heed it.

The users' rule: a request that a client sent later than DRAIN_S after a host had passed on an
answer with `Server-Leaving` does not reach that leaf from that host, in touch or not. Only a
restart or a pause of the host since then excuses it.
"""

import time

from limits import host_of_connection

DRAIN_S = 3.0


class SaidLeaving:
    """What one leaf that leaves has answered, and what arrived at it since it began to leave."""

    def __init__(self):
        self.answers, self.arrivals = [], []

    def note_answer(self, node, signature):
        """Records an answer to a node; None when it is unknown."""
        if node is not None:
            self.answers.append((node, node.process.pid, signature))

    def note_arrival(self, node, request):
        if node is not None:
            self.arrivals.append((time.monotonic(), node, node.process.pid, request))

    def passed_on_first(self, passed_on):
        """When each process first passed on an answer, by when callers had which signature."""
        first = {}
        for node, pid, signature in self.answers:
            if signature in passed_on:
                key = (node.number, pid)
                first[key] = min(first.get(key, passed_on[signature]), passed_on[signature])
        return first

    def late(self, passed_on, sent):
        """Returns requests that may not have arrived: host, id, how long after the answer a
        caller sent it."""
        first = self.passed_on_first(passed_on)
        found = []
        for at, node, pid, request in self.arrivals:
            begin = first.get((node.number, pid))
            if begin is None or request not in sent or sent[request] <= begin + DRAIN_S:
                continue
            if not any(start <= at and until >= begin for start, until in node.pauses):
                found.append((node.ip, request, sent[request] - begin))
        return found


def host_of(leaf, writer):
    """The host at the far end of a leaf's connection, or None."""
    return host_of_connection(leaf.world.nodes, writer.get_extra_info("peername"),
                              writer.get_extra_info("sockname"))
