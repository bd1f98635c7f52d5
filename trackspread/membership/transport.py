"""Provides datagrams, connections and a timer at one address to any host of a view.

All input is bounded: a datagram by the wire format, a table by the fleet's size, connections by number and
time. An exception in the handling of one message affects only that message.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import Callable

from ..logs import RateLimitFilter
from .identifiers import SECOND, Address
from .messages import TableSnapshot
from .timing import TICK_NS
from .wire import TABLE_LENGTH_BYTES, Wire

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

EXCHANGE_TIMEOUT_S = 2.0  # time limit of one exchange of tables
MAX_OWN_EXCHANGES = 4  # limit of exchanges in progress that this member started
MAX_SERVED_EXCHANGES = 16  # limit of exchanges in progress that other members started
# File descriptors include both sockets, the event log and one spare.
DESCRIPTORS = MAX_OWN_EXCHANGES + MAX_SERVED_EXCHANGES + 4


class _DatagramProtocol(asyncio.DatagramProtocol):
    """Passes received datagrams to a `Transport`."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._transport.datagram_received(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Ignores the ICMP error of a dead member's port, because datagrams may be lost anyway."""


class Transport:
    """Provides the sockets and the timer of a host, which adds the handling of received messages.

    `counts` holds the datagrams and bytes sent and received, the exchanges, and the bytes of their tables.
    """

    def __init__(
        self,
        listen: Address,
        wire: Wire,
        max_served_exchanges: int = MAX_SERVED_EXCHANGES,
        receive_buffer_bytes: int = 0,
    ) -> None:
        """Creates the transport without opening sockets.

        `receive_buffer_bytes` is the receive buffer of the datagram socket; 0 keeps the system's default.
        """
        self.wire = wire
        self.counts = Counter[str]()
        self._receive_buffer_bytes = receive_buffer_bytes
        self._listen = listen
        self._max_served_exchanges = max_served_exchanges
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._own_exchanges: set[asyncio.Task[None]] = set()
        self._served_exchanges = 0
        self._next_tick_s = 0.0  # on the event loop's clock

    def _receive(self, data: bytes, source: Address) -> None:
        """Handles a received datagram."""
        raise NotImplementedError

    def _tick(self) -> None:
        """Runs once every `TICK_NS`."""
        raise NotImplementedError

    def _table_snapshot(self, fleet: str) -> TableSnapshot | None:
        """Returns what is known of this fleet, for another member, or None for an unknown fleet."""
        raise NotImplementedError

    def _merge(self, table: TableSnapshot) -> None:
        """Merges another member's table."""
        raise NotImplementedError

    async def _open(self, on_open: Callable[[], None]) -> None:
        """Opens both sockets; `on_open` is called once datagrams can be sent.

        Raises `OSError` where the address can't be bound, in which case both sockets are closed.
        """
        loop = asyncio.get_running_loop()
        datagram_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            datagram_socket.setblocking(False)
            if self._receive_buffer_bytes:
                datagram_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer_bytes)
            datagram_socket.bind(self._listen)
            self._server = await asyncio.start_server(
                self._serve, *self._listen, limit=self.wire.max_table_bytes
            )
        except OSError:
            datagram_socket.close()
            raise
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self), sock=datagram_socket
        )
        self._transport = transport
        on_open()
        self._next_tick_s = loop.time()
        self._run_tick()

    def _stop_ticking(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _close_sockets(self) -> None:
        self._stop_ticking()
        if self._transport is not None:
            self._transport.close()
            self._transport = None
        if self._server is not None:
            self._server.close()
        for task in list(self._own_exchanges):
            task.cancel()

    def _run_guarded(self, call: Callable[[], None]) -> None:
        """Runs `call`; an exception is logged and affects nothing else."""
        try:
            call()
        except Exception:
            log.exception("fleet: one tick or message is skipped because its handling failed")

    def _run_tick(self) -> None:
        loop = asyncio.get_running_loop()
        self._run_guarded(self._tick)
        self._next_tick_s = max(self._next_tick_s + TICK_NS / SECOND, loop.time())
        self._timer = loop.call_at(self._next_tick_s, self._run_tick)

    def datagram_received(self, data: bytes, source: Address) -> None:
        """Counts and handles a datagram received by the socket."""
        self.counts["received"] += 1
        self.counts["bytes received"] += len(data)
        self._run_guarded(lambda: self._receive(data, source))

    def _send(self, data: bytes, address: Address) -> None:
        if self._transport is None:
            return
        self.counts["sent"] += 1
        self.counts["bytes sent"] += len(data)
        self._transport.sendto(data, address)

    def _start_exchange(self, address: Address, fleet: str) -> None:
        """Sends this member's table of the fleet to the address, and merges the table that is returned."""
        if len(self._own_exchanges) >= MAX_OWN_EXCHANGES or self._transport is None:
            return
        task = asyncio.get_running_loop().create_task(self._exchange(address, fleet))
        self._own_exchanges.add(task)
        task.add_done_callback(self._own_exchanges.discard)

    async def _exchange(self, address: Address, fleet: str) -> None:
        """Runs one exchange; a failure is only counted, because the core starts further exchanges."""
        writer: asyncio.StreamWriter | None = None
        local = None if self._listen[0] == "0.0.0.0" else (self._listen[0], 0)
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    *address, limit=self.wire.max_table_bytes, local_addr=local
                )
                if (table := self._table_snapshot(fleet)) is not None:
                    self._write_table(writer, table)
                    await self._read_table(reader)
            self.counts["exchanges"] += 1
        except (OSError, TimeoutError, EOFError):
            self.counts["exchanges failed"] += 1
        finally:
            if writer is not None:
                writer.close()

    def _write_table(self, writer: asyncio.StreamWriter, table: TableSnapshot) -> None:
        data = self.wire.pack_table(table)
        self.counts["table bytes sent"] += len(data)
        writer.write(data)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._served_exchanges >= self._max_served_exchanges or self._transport is None:
            writer.close()
            return
        self._served_exchanges += 1
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                received = await self._read_table(reader)
                if received is not None and (table := self._table_snapshot(received.fleet)) is not None:
                    self._write_table(writer, table)
                    await writer.drain()
        except (OSError, TimeoutError, EOFError):
            pass
        finally:
            self._served_exchanges -= 1
            writer.close()

    async def _read_table(self, reader: asyncio.StreamReader) -> TableSnapshot | None:
        """Reads, merges and returns a table, or returns None for one that is too large or invalid."""
        size = int.from_bytes(await reader.readexactly(TABLE_LENGTH_BYTES))
        if size > self.wire.max_table_bytes:
            self.wire.dropped["too long"] += 1
            return None
        data = await reader.readexactly(size)
        self.counts["table bytes received"] += TABLE_LENGTH_BYTES + size
        if (table := self.wire.unpack_table(data)) is not None:
            self._run_guarded(lambda: self._merge(table))
        return table
