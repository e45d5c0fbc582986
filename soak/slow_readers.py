"""Simulated callers that read a large answer slowly and send bytes behind their request."""

import asyncio
import socket
import time

from platform_standin import read_head

# Small, so that most of an answer waits at the host.
RECEIVE_BUFFER_BYTES = 16_384
PIECE_BYTES = 16_384
# A host waits 2 s for the delivery of an answer.
LONGEST_READ_S = 1.2
CONNECT_S = 1.0
ANSWER_SLACK_S = 1.5
# None of them is a whole request, so that no answer to them is due.
EXTRA_BYTES = [b"", b"\r\n", b"GET /one/extra HTTP/1.1\r\nHost: h\r\nX-Reque"]
PLANTED_SHARE = 0.2


class SlowReaders:
    """Requests large answers, one a connection, and verifies that they arrive whole."""

    def __init__(self, callers):
        self.callers, self.world = callers, callers.world
        self.answers = 0

    async def read_one(self, rng, ip):
        request = self.callers.compose("large")
        try:
            reader, writer = await asyncio.wait_for(self._connect(ip), CONNECT_S)
        except (OSError, asyncio.TimeoutError):
            return
        extra, late = rng.choice(EXTRA_BYTES), rng.random() < 0.5
        self.callers.note_sent(request)
        writer.write(request.bytes + (b"" if late else extra))
        answer, why = None, ""
        try:
            answer = await asyncio.wait_for(
                self._read_answer(rng, reader, writer, extra if late else b""),
                request.deadline_s + LONGEST_READ_S + ANSWER_SLACK_S)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failed:
            why = f"{type(failed).__name__} after sending, large answer"
        writer.close()
        if answer is None:
            self.callers.note_outcome(request, None, why.split(",")[0])
            self.callers.cut.append((request.id, ip, why, request.sent, time.monotonic()))
            return
        self.answers += answer[0] == 200
        self.callers.check_answered(request, ip, answer)

    async def _connect(self, ip):
        connection = socket.socket()
        connection.setblocking(False)
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            await asyncio.get_running_loop().sock_connect(connection, (ip, self.world.port))
            return await asyncio.open_connection(sock=connection, limit=PIECE_BYTES)
        except BaseException:
            connection.close()
            raise

    async def _read_answer(self, rng, reader, writer, extra):
        head = await read_head(reader)
        if head is None:
            raise ConnectionError("closed")
        size = int(head[1].get("content-length", "0"))
        content, pieces = bytearray(), max(1, size // PIECE_BYTES)
        pause = rng.uniform(0.1, LONGEST_READ_S) / pieces
        while len(content) < size:
            if extra and content:
                writer.write(extra)
                extra = b""
            if self.world.args.plant == "cut" and content and rng.random() < (
                    PLANTED_SHARE / pieces):
                raise ConnectionError("planted")
            content += await reader.readexactly(min(PIECE_BYTES, size - len(content)))
            await asyncio.sleep(pause)
        return int(head[0][1]), head[1], bytes(content)
