"""Datagrams and connections at one address, and a timer: what any core of a view needs of the network.

Decides nothing. All that comes is bounded: a datagram by the wire, a table by the fleet's size, connections
by number and time. A fault in a core's handling of one word must cost that word alone. May know: sockets,
tables' frames. May not know: what any of it means.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import Callable

from ..logs import Sparing
from .member import TICK
from .terms import SECOND, Address, Table
from .wire import Wire

log = logging.getLogger(__name__)
log.addFilter(Sparing())

EXCHANGE_MOST = 2.0  # s for one exchange of tables
OWN_MOST, SERVED_MOST = 4, 16  # exchanges under way that were begun here, and by others
DESCRIPTORS = OWN_MOST + SERVED_MOST + 4  # of these, both sockets, the record, and one to spare


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, port: Port) -> None:
        self._port = port

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._port.came(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """A dead member's port answers with an ICMP error; datagrams may be lost anyway."""


class Port:
    """For a host to be built on, which adds what is to be done with what comes. `counts`: datagrams and
    bytes, sent and received; exchanges, and bytes of the tables in them."""

    def __init__(self, listen: Address, wire: Wire, served: int = SERVED_MOST, receive: int = 0) -> None:
        """`served`: exchanges under way that others began, at most; `receive`: bytes of the socket's buffer
        that are asked for, 0: the system's."""
        self.wire, self.counts = wire, Counter[str]()
        self._receive = receive
        self._listen, self._served_most = listen, served
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._own: set[asyncio.Task[None]] = set()
        self._served = 0
        self._due = 0.0

    # What a host adds.

    def _take(self, data: bytes, source: Address) -> None:
        """A datagram."""
        raise NotImplementedError

    def _ticked(self) -> None:
        """Another `TICK` is over."""
        raise NotImplementedError

    def _table(self, fleet: str) -> Table | None:
        """What is held of this fleet's view, for another member; nothing where that is not known."""
        raise NotImplementedError

    def _took(self, table: Table) -> None:
        """What another holds."""
        raise NotImplementedError

    # Sockets.

    async def _open(self, begin: Callable[[], None]) -> None:
        """`begin` is called once words can be sent. Raises `OSError` where the address can't be had; what was
        bound by then is let go."""
        loop = asyncio.get_running_loop()
        made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            made.setblocking(False)
            if self._receive:
                made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive)
            made.bind(self._listen)
            self._server = await asyncio.start_server(self._serve, *self._listen, limit=self.wire.table_most)
        except OSError:
            made.close()
            raise
        transport, _ = await loop.create_datagram_endpoint(lambda: _Datagrams(self), sock=made)
        self._transport = transport
        begin()
        self._due = loop.time()
        self._tick()

    def _stop_ticking(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _shut(self) -> None:
        self._stop_ticking()
        if self._transport is not None:
            self._transport.close()
            self._transport = None
        if self._server is not None:
            self._server.close()
        for task in list(self._own):
            task.cancel()

    def _guarded(self, call: Callable[[], None]) -> None:
        try:
            call()
        except Exception:
            log.exception("fault in the view of the fleet")

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        self._guarded(self._ticked)
        self._due = max(self._due + TICK / SECOND, loop.time())
        self._timer = loop.call_at(self._due, self._tick)

    def came(self, data: bytes, source: Address) -> None:
        self.counts["received"] += 1
        self.counts["bytes received"] += len(data)
        self._guarded(lambda: self._take(data, source))

    def _send(self, data: bytes, to: Address) -> None:
        if self._transport is None:
            return
        self.counts["sent"] += 1
        self.counts["bytes sent"] += len(data)
        self._transport.sendto(data, to)

    # Tables over connections.

    def _exchange(self, to: Address, fleet: str) -> None:
        """Ours of this fleet goes there, theirs comes back."""
        if len(self._own) >= OWN_MOST or self._transport is None:
            return
        task = asyncio.get_running_loop().create_task(self._swap(to, fleet))
        self._own.add(task)
        task.add_done_callback(self._own.discard)

    async def _swap(self, to: Address, fleet: str) -> None:
        """Nobody there, or nothing to be believed: it is tried again."""
        writer: asyncio.StreamWriter | None = None
        local = None if self._listen[0] == "0.0.0.0" else (self._listen[0], 0)
        try:
            async with asyncio.timeout(EXCHANGE_MOST):
                reader, writer = await asyncio.open_connection(
                    *to, limit=self.wire.table_most, local_addr=local
                )
                if (table := self._table(fleet)) is not None:
                    self._write(writer, table)
                    await self._merge(reader)
            self.counts["exchanges"] += 1
        except (OSError, TimeoutError, EOFError):
            self.counts["exchanges failed"] += 1
        finally:
            if writer is not None:
                writer.close()

    def _write(self, writer: asyncio.StreamWriter, table: Table) -> None:
        data = self.wire.pack_table(table)
        self.counts["table bytes sent"] += len(data)
        writer.write(data)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._served >= self._served_most or self._transport is None:
            writer.close()
            return
        self._served += 1
        try:
            async with asyncio.timeout(EXCHANGE_MOST):
                came = await self._merge(reader)
                if came is not None and (table := self._table(came.fleet)) is not None:
                    self._write(writer, table)
                    await writer.drain()
        except (OSError, TimeoutError, EOFError):
            pass
        finally:
            self._served -= 1
            writer.close()

    async def _merge(self, reader: asyncio.StreamReader) -> Table | None:
        size = int.from_bytes(await reader.readexactly(4))
        if size > self.wire.table_most:
            self.wire.dropped["too long"] += 1
            return None
        data = await reader.readexactly(size)
        self.counts["table bytes received"] += 4 + size
        if (table := self.wire.unpack_table(data)) is not None:
            self._guarded(lambda: self._took(table))
        return table
