"""A core on one datagram socket: what comes in, what goes out, a timer, and what both amount to.

May know: sockets, bytes. May not know: what any core decides.
"""

from __future__ import annotations

import asyncio
import socket
import time
from abc import ABC, abstractmethod

from .messages import Traffic
from .placement import Address

TICK = 0.05  # s between two ticks of a core: all of the levels' cores have the same


class CoreSocket(ABC, asyncio.DatagramProtocol):
    """One core's."""

    def __init__(self, name: str, address: Address) -> None:
        self.name, self.address = name, address
        self.datagrams = self.sent = self.received = 0  # sent; bytes of payload
        self._before = (0, 0)
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due = 0.0

    @abstractmethod
    def tick(self, now: int) -> None:
        """The core's turn, at `now` ns."""

    @abstractmethod
    def came(self, now: int, data: bytes, source: Address) -> None:
        """One datagram."""

    async def open(self) -> None:
        """Raises `OSError` where the address can't be had."""
        loop = asyncio.get_running_loop()
        made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        made.setblocking(False)
        try:
            made.bind(self.address)
        except OSError:
            made.close()
            raise
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=made)
        self._due = loop.time()
        self._tick()

    def close(self) -> None:
        """Without a word."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, to: Address, data: bytes) -> None:
        if self._transport is not None:
            self.datagrams += 1
            self.sent += len(data)
            self._transport.sendto(data, to)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.received += len(data)
        self.came(time.monotonic_ns(), data, (addr[0], addr[1]))

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        self.tick(time.monotonic_ns())
        self._due = max(self._due + TICK, loop.time())
        self._timer = loop.call_at(self._due, self._tick)

    def traffic(self) -> Traffic:
        return Traffic(self.name, self.sent, self.received)

    def since_last(self) -> int:
        """Bytes since the last call, the greater of sent and received."""
        before, self._before = self._before, (self.sent, self.received)
        return max(self.sent - before[0], self.received - before[1])
