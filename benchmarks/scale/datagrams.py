"""Runs a core on one datagram socket with a timer, and counts its traffic.

The module knows sockets and bytes; it does not know what a core decides.
"""

from __future__ import annotations

import asyncio
import socket
import time
from abc import ABC, abstractmethod

from .messages import Traffic
from .placement import Address

TICK_S = 0.05  # Between two ticks of a core. All cores of cells and of configuration have the same interval.


class CoreSocket(ABC, asyncio.DatagramProtocol):
    """Connects one core to its datagram socket and its timer."""

    def __init__(self, name: str, address: Address) -> None:
        self.name, self.address = name, address
        self.datagrams = self.sent = self.received = 0  # Datagrams sent; payload bytes sent and received.
        self._before = (0, 0)
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due = 0.0

    @abstractmethod
    def tick(self, now: int) -> None:
        """Runs a tick of the core at `now` ns."""

    @abstractmethod
    def on_datagram(self, now: int, data: bytes, source: Address) -> None:
        """Handles one datagram."""

    async def open(self) -> None:
        """Opens the socket and starts the timer. Raises `OSError` if the address is not available."""
        loop = asyncio.get_running_loop()
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp_socket.setblocking(False)
        try:
            udp_socket.bind(self.address)
        except OSError:
            udp_socket.close()
            raise
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=udp_socket)
        self._due = loop.time()
        self._tick()

    def close(self) -> None:
        """Closes the socket without sending anything."""
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
        self.on_datagram(time.monotonic_ns(), data, (addr[0], addr[1]))

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        self.tick(time.monotonic_ns())
        self._due = max(self._due + TICK_S, loop.time())
        self._timer = loop.call_at(self._due, self._tick)

    def traffic(self) -> Traffic:
        return Traffic(self.name, self.sent, self.received)

    def since_last(self) -> int:
        """Returns the bytes since the last call: the greater of sent and received."""
        before, self._before = self._before, (self.sent, self.received)
        return max(self.sent - before[0], self.received - before[1])
