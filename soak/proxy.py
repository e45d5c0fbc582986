"""A loopback proxy between a node and what it talks to."""

import asyncio


class Proxy:
    """Passes connections on to an address; can delay, silence or reset them."""

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
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self.pairs.add(pair)
        await asyncio.gather(self._pump(reader, far_writer, "to"),
                             self._pump(far_reader, writer, "from"))
        self.pairs.discard(pair)

    async def _pump(self, reader, writer, way):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.05)
                while self.mode == "silent" or self.mode == f"one-way-{way}":
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, RuntimeError):
            pass
        finally:
            writer.close()
