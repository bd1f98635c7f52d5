"""Provides a faulty network on loopback from relays with delay, loss, duplication, throttling and cuts.

The relays also reorder datagrams and half-close connections. Conditions are set for each pair of names, each
direction and each of UDP and TCP (`network_path.py`); faults are drawn from a seed. The relays know no
protocol above UDP and TCP.
"""

from __future__ import annotations

import random

from .datagram_relay import DatagramRelay
from .loopback import Address
from .network_path import NetworkPaths
from .shared_address_relay import SharedAddressRelay
from .tcp_relay import TcpRelay


class FaultyNetwork(NetworkPaths):
    """Holds all paths and relays of one run."""

    def __init__(self, seed: int) -> None:
        super().__init__(random.Random(f"wire:{seed}"))
        self._relays: list[TcpRelay | DatagramRelay | SharedAddressRelay] = []

    async def tcp(self, source: str, target: str, target_address: Address) -> Address:
        """Opens a relay to `target`, which listens at `target_address`; returns the address for `source`."""
        relay = TcpRelay(self, source, target, target_address)
        self._relays.append(relay)
        return await relay.start()

    def tcp_relays(self, source: str, target: str) -> list[TcpRelay]:
        """Returns the TCP relays from `source` to `target`."""
        return [
            relay
            for relay in self._relays
            if isinstance(relay, TcpRelay) and (relay.source, relay.target) == (source, target)
        ]

    async def datagrams(self, addresses: dict[str, Address]) -> dict[tuple[str, str], Address]:
        """Opens relays between all names, which listen at `addresses`.

        Returns, for each pair (a, b), the address at which a reaches b and from which b's datagrams arrive at
        a.
        """
        relay = DatagramRelay(self, addresses)
        self._relays.append(relay)
        return await relay.start()

    async def shared_addresses(self, addresses: dict[str, Address]) -> dict[str, Address]:
        """Opens and returns one address for each name, for datagrams and connections from all others.

        Senders are identified by their host, so each name has to listen at a host of its own.
        """
        relay = SharedAddressRelay(self, addresses)
        self._relays.append(relay)
        return await relay.start()

    def close(self) -> None:
        """Closes all relays."""
        for relay in self._relays:
            relay.close()
