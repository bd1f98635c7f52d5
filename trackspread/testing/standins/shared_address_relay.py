"""Relays datagrams and connections through one address for each name.

This relay serves processes that exchange their addresses, because all others reach a name at the same
address. A sender is identified by its host, so each name has to listen at a host of its own.
"""

from __future__ import annotations

from .datagram_relay import DelayedDelivery, OnDatagram, RelaySocket
from .loopback import Address
from .network_path import NetworkPaths
from .tcp_relay import TcpRelay

PORT_ATTEMPTS = 20  # attempts to find a port that is free for datagrams and connections


class SharedAddressRelay:
    """Relays between all names; `addresses` holds where they listen, which is also where they send from."""

    def __init__(self, paths: NetworkPaths, addresses: dict[str, Address]) -> None:
        self._paths = paths
        self._addresses = addresses
        self._names = {address: name for name, address in addresses.items()}
        self._names_by_host = {host: name for name, (host, _) in addresses.items()}
        self._delivery = DelayedDelivery(paths)
        self._sockets: dict[str, RelaySocket] = {}
        self._tcp_relays: list[TcpRelay] = []

    async def start(self) -> dict[str, Address]:
        """Opens and returns the address that reaches each name; raises `OSError` if no port is free."""
        return {name: await self._open(name) for name in self._addresses}

    async def _open(self, name: str) -> Address:
        for _ in range(PORT_ATTEMPTS):
            relay_socket = RelaySocket(self._forwarder(name))
            address = await relay_socket.open()
            tcp_relay = TcpRelay(self._paths, None, name, self._addresses[name], self._names_by_host)
            try:
                await tcp_relay.start(address[1])
            except OSError:
                relay_socket.close()
                continue
            self._sockets[name] = relay_socket
            self._tcp_relays.append(tcp_relay)
            return address
        raise OSError(f"no port is free for datagrams and connections after {PORT_ATTEMPTS} attempts")

    def _forwarder(self, target: str) -> OnDatagram:
        """Returns a callback that forwards to `target`; datagrams come from their sender's shared address."""

        def forward(data: bytes, sender: Address) -> None:
            source = self._names.get(sender)
            if source is not None:
                self._delivery.schedule(
                    source,
                    target,
                    data,
                    lambda copy: self._sockets[source].send(copy, self._addresses[target]),
                )

        return forward

    def close(self) -> None:
        """Closes all sockets and connections."""
        for relay_socket in self._sockets.values():
            relay_socket.close()
        for tcp_relay in self._tcp_relays:
            tcp_relay.close()
