"""Relays datagrams and delays, reorders, duplicates, throttles, loses or blocks them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from .loopback import Address, own_address
from .network_path import NetworkPaths

MAX_DELAYED_DATAGRAMS = 4096  # limit for one relay; further datagrams are lost, as on any network

OnDatagram = Callable[[bytes, Address], None]  # called with the data and the sender's address


class RelaySocket(asyncio.DatagramProtocol):
    """Passes the datagrams that a socket on loopback receives to a callback."""

    def __init__(self, on_datagram: OnDatagram) -> None:
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self) -> Address:
        """Binds to a free port and returns the address."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(own_address(), 0))
        host, port = transport.get_extra_info("sockname")[:2]
        return str(host), int(port)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the bound socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes the datagram to the callback."""
        self._on_datagram(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Ignores the ICMP error from the port of a process that has ended; the datagram is lost."""

    def send(self, data: bytes, target: Address) -> None:
        """Sends a datagram, unless the socket is closed."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, target)

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()


class DelayedDelivery:
    """Delivers datagrams according to the network conditions of their paths."""

    def __init__(self, paths: NetworkPaths) -> None:
        self._paths = paths
        self._delayed = 0

    def schedule(self, source: str, target: str, data: bytes, deliver: Callable[[bytes], None]) -> None:
        """Calls `deliver` once for each copy that arrives."""
        loop = asyncio.get_running_loop()
        path = self._paths.path(source, target, "udp")
        for delay_s in path.datagram_delays_s(loop.time(), len(data), self._paths.rng):
            if self._delayed < MAX_DELAYED_DATAGRAMS:
                self._delayed += 1
                loop.call_later(delay_s, self._deliver, data, deliver)

    def _deliver(self, data: bytes, deliver: Callable[[bytes], None]) -> None:
        self._delayed -= 1
        deliver(data)


class DatagramRelay:
    """Relays through one socket for every ordered pair of names, so that each pair has an address of its own.

    `addresses` holds the addresses at which the names listen and from which they send.
    """

    def __init__(self, paths: NetworkPaths, addresses: dict[str, Address]) -> None:
        self._addresses = addresses
        self._delivery = DelayedDelivery(paths)
        self._sockets: dict[tuple[str, str], RelaySocket] = {}

    async def start(self) -> dict[tuple[str, str], Address]:
        """Opens the sockets and returns, for each pair (a, b), the address at which a reaches b."""
        relayed_addresses = {}
        for source in self._addresses:
            for target in self._addresses:
                if source != target:
                    relay_socket = RelaySocket(self._forwarder(source, target))
                    relayed_addresses[source, target] = await relay_socket.open()
                    self._sockets[source, target] = relay_socket
        return relayed_addresses

    def _forwarder(self, source: str, target: str) -> OnDatagram:
        """Returns a callback that forwards from `source` to `target`, through the socket of that pair."""

        def deliver(data: bytes) -> None:
            self._sockets[target, source].send(data, self._addresses[target])

        def forward(data: bytes, sender: Address) -> None:
            if sender == self._addresses[source]:
                self._delivery.schedule(source, target, data, deliver)

        return forward

    def close(self) -> None:
        """Closes the sockets."""
        for relay_socket in self._sockets.values():
            relay_socket.close()
