"""A faulty network on loopback: relays that delay, lose, duplicate, reorder, throttle, cut and half-close.

What happens is set for each pair of names, each direction and each of UDP and TCP (`network_path.py`) and
drawn from a seed. The relays know no protocol above these.
"""

from __future__ import annotations

import random

from .datagram_relay import DatagramRelay
from .loopback import Address
from .network_path import NetworkPaths
from .shared_address_relay import SharedAddressRelay
from .tcp_relay import TcpRelay


class FaultyNetwork(NetworkPaths):
    """All paths and relays of one run."""

    def __init__(self, seed: int) -> None:
        super().__init__(random.Random(f"wire:{seed}"))
        self._relays: list[TcpRelay | DatagramRelay | SharedAddressRelay] = []

    async def tcp(self, source: str, target: str, target_address: Address) -> Address:
        """Opens a relay to `target`, which listens at `target_address`; returns the address for `source`."""
        relay = TcpRelay(self, source, target, target_address)
        self._relays.append(relay)
        return await relay.start()

    def tcp_relays(self, source: str, target: str) -> list[TcpRelay]:
        """The TCP relays from `source` to `target`."""
        return [
            relay
            for relay in self._relays
            if isinstance(relay, TcpRelay) and (relay.source, relay.target) == (source, target)
        ]

    async def datagrams(self, addresses: dict[str, Address]) -> dict[tuple[str, str], Address]:
        """Opens relays between all names, which listen at `addresses`.

        Returns for (a, b) the address that a has for b, both to send to and to recognise what comes from b.
        """
        relay = DatagramRelay(self, addresses)
        self._relays.append(relay)
        return await relay.start()

    async def shared_addresses(self, addresses: dict[str, Address]) -> dict[str, Address]:
        """Opens one address for each name, for datagrams and connections from all others; returns these.

        Senders are recognised by their host, so each name has to listen at a host of its own.
        """
        relay = SharedAddressRelay(self, addresses)
        self._relays.append(relay)
        return await relay.start()

    def close(self) -> None:
        """Closes all relays."""
        for relay in self._relays:
            relay.close()
