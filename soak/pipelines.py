"""Simulated callers that send several requests on a connection before they are answered."""

import asyncio
import time

from platform_standin import read_body, read_head

# Number of requests in a group.
DEPTHS = [2, 3]
# Largest pauses between two requests of a group, of which one is chosen.
GAPS_S = [0.002, 0.02, 0.15]
KINDS = ["all", "one", "version", "lookup", "order"]
CONNECT_S = 1.0
ANSWER_SLACK_S = 1.5
# Time after which a host must have read a request that was sent to it.
READ_SLACK_S = 0.2
PLANTED_SHARE = 0.05


class Unanswered:
    """A request of a group that got no answer: when it was sent, and when the host ended the
    connection or announced that."""

    def __init__(self, request, ip, why, ended, follows_answer):
        self.request, self.ip, self.why = request, ip, why
        self.ended, self.follows_answer = ended, follows_answer

    def reason_lost(self, has_run, stalled):
        """Returns why the request counts as lost; None where the connection ended before the
        host must have read it."""
        if has_run:
            return "passed on"
        if self.follows_answer:
            return "in one write with an answered request"
        waited = self.ended - self.request.sent - stalled
        return f"{waited:.3f} s after it was sent" if waited > READ_SLACK_S else None


class Pipelines:
    """Sends groups of requests and verifies that all are answered, in order."""

    def __init__(self, callers):
        self.callers, self.world = callers, callers.world
        self.unanswered = []
        self.groups = 0

    async def send_group(self, rng, ip, pool):
        """Sends a group on the connection kept for a host, or on a new one."""
        key = (ip, self.world.port)
        try:
            reader, writer = pool.pop(key, None) or await asyncio.wait_for(
                asyncio.open_connection(*key), CONNECT_S)
        except (OSError, asyncio.TimeoutError):
            return
        self.groups += 1
        group = [self.callers.compose(rng.choice(KINDS)) for _ in range(rng.choice(DEPTHS))]
        at_once = rng.random() < 0.5
        sending = asyncio.create_task(self._send(rng, writer, group, at_once))
        is_kept = await self._receive(rng, reader, ip, group, at_once, sending)
        sending.cancel()
        if is_kept:
            pool[key] = (reader, writer)
        else:
            writer.close()

    async def _send(self, rng, writer, group, at_once):
        for request in group:
            self.callers.note_sent(request)
            if not at_once:
                writer.write(request.bytes)
                await asyncio.sleep(rng.uniform(0.0, rng.choice(GAPS_S)))
        if at_once:
            writer.write(b"".join(request.bytes for request in group))

    async def _receive(self, rng, reader, ip, group, at_once, sending):
        """Receives the answers of a group; returns whether the connection can be used again."""
        closed_since = None
        for position, request in enumerate(group):
            try:
                while request.sent is None and not sending.done() and closed_since is None:
                    await asyncio.sleep(0.001)
                if request.sent is None:
                    return False
                if (self.world.args.plant == "pipelined" and position
                        and rng.random() < PLANTED_SHARE):
                    raise ConnectionError("planted")
                answer = await asyncio.wait_for(
                    self._read_answer(reader), request.deadline_s + ANSWER_SLACK_S)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failed:
                self._note_unanswered(group[position:], ip, type(failed).__name__,
                                      closed_since or time.monotonic(), at_once and position > 0)
                return False
            self.callers.check_answered(request, ip, answer)
            if closed_since is None and answer[1].get("connection", "").lower() == "close":
                closed_since = time.monotonic()
                sending.cancel()
        return closed_since is None

    async def _read_answer(self, reader):
        head = await read_head(reader)
        if head is None:
            raise ConnectionError("closed")
        return int(head[0][1]), head[1], await read_body(reader, head[1])

    def _note_unanswered(self, requests, ip, why, ended, follows_answer):
        for request in requests:
            if request.sent is not None:
                self.callers.note_outcome(request, None, why)
                self.unanswered.append(Unanswered(request, ip, why, ended, follows_answer))

    def check_lost(self):
        for one in self.unanswered:
            request = one.request
            reason = one.reason_lost(bool(self.world.runs.get(request.id)),
                                     self.callers.stalled(request.sent, one.ended))
            if reason:
                self.world.report_violation(
                    "lost", f"{request.id} ({request.kind}) in a group at {one.ip}: "
                    f"{one.why}, {reason}")
