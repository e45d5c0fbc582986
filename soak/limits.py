"""Limits that leafs name, and the check that they are kept.

The platform's rule: from CONTACT_S after a leaf first named its limit, it gets in
any WINDOW_S at most 1.5 times what the limit allows, and 5 requests more, from the
hosts that were told of it KNOWN_S before or earlier. A restart, pause or cut of a
host excuses that host.
"""

import os
import pathlib
import socket
import sys
import time

CONTACT_S = 4.0
WINDOW_S = 4.0
KNOWN_S = 0.5
FACTOR = 1.5
SLACK = 5


def end_in_proc(address, port):
    """An end of a connection as /proc/net/tcp writes it."""
    number = int.from_bytes(socket.inet_aton(address), sys.byteorder)
    return f"{number:08X}:{port:04X}"


def host_of_connection(nodes, local, remote):
    """Returns the node whose process holds the local end of a connection, or None."""
    # Connections to other addresses may have the same local port.
    ends = [end_in_proc(*local), end_in_proc(*remote)]
    inode = None
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1:3] == ends:
            inode = fields[9]
            break
    for node in nodes:
        if inode is None or not node.is_running:
            continue
        folder = f"/proc/{node.process.pid}/fd"
        try:
            for name in os.listdir(folder):
                if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                    return node
        except OSError:
            continue  # The process has just ended.
    return None


class NamedLimit:
    """The limit of one leaf from its first naming to its end."""

    def __init__(self, rate):
        self.changes = [(time.monotonic(), rate)]
        self.ended = None
        self.told, self.arrivals = {}, []

    @property
    def rate(self):
        return self.changes[-1][1]

    def change(self, rate):
        self.changes.append((time.monotonic(), rate))

    def note_arrival(self, node):
        """Records a request from a node; None when it is unknown."""
        if node is not None:
            self.arrivals.append((time.monotonic(), node, node.process.pid))

    def note_answer(self, node):
        """Records that a node was told of the limit."""
        if node is not None:
            self.told.setdefault((node.number, node.process.pid), time.monotonic())

    def allowed(self, start):
        """What the highest limit in the window allows."""
        in_force = [rate for (at, rate), (end, _) in
                    zip(self.changes, self.changes[1:] + [(float("inf"), 0)])
                    if at <= start + WINDOW_S and end >= start - KNOWN_S]
        return FACTOR * max(in_force) * WINDOW_S + SLACK

    def excess(self):
        """Returns the window with the most requests beyond the rule, or None."""
        begin = self.changes[0][0] + CONTACT_S
        end = self.ended or float("inf")
        counted = [at for at, node, pid in self.arrivals
                   if begin <= at <= end
                   and at - self.told.get((node.number, pid), at) >= KNOWN_S
                   and not node.was_disturbed(at - CONTACT_S, at)]
        worst = None
        for number, start in enumerate(counted):
            inside = sum(at < start + WINDOW_S for at in counted[number:])
            allowed = self.allowed(start)
            if inside > allowed and (worst is None or inside - allowed > worst[0] - worst[1]):
                worst = (inside, allowed, start - self.changes[0][0])
        return worst

