"""A loopback TCP proxy with fault injection."""

import asyncio


class Proxy:
    """Forwards connections to an address; can delay, stall or reset them."""

    def __init__(self, host, target_host, target_port):
        self.host, self.target = host, (target_host, target_port)
        self.port = 0
        self.mode = "pass"
        self.server = None
        self.pairs = set()

    async def start(self):
        self.server = await asyncio.start_server(self._connected, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        self.reset_all()

    def reset_all(self):
        for pair in list(self.pairs):
            for writer in pair:
                writer.transport.abort()

    async def _connected(self, reader, writer):
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, upstream_writer)
        self.pairs.add(pair)
        await asyncio.gather(self._pump(reader, upstream_writer, "to"),
                             self._pump(upstream_reader, writer, "from"))
        self.pairs.discard(pair)

    async def _pump(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.05)
                while self.mode == "silent" or self.mode == f"one-way-{direction}":
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, RuntimeError):
            pass
        finally:
            writer.close()
