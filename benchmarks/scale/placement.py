"""Assigns hollow members to processes, addresses, racks, zones and regions, and simulates partitions.

The module knows numbers and addresses; it does not know sockets or the content of datagrams.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

Address = tuple[str, int]

REGIONS, ZONES, RACKS = 4, 12, 60  # Each divides the next, so that a rack is in one zone.
PORT = 20_000  # Of a process's first member; each process has a loopback host of its own.
PREFIX = "hollow-"  # Of a hollow member's name, before its number.
CONTROL_PREFIX = "control-"  # Of a control machine's name.


class Placement(msgspec.Struct, frozen=True):
    """Assigns members in turn to `hosts`, which are one loopback host for each hollow process."""

    hosts: tuple[str, ...]

    def process(self, number: int) -> int:
        return number % len(self.hosts)

    def address(self, number: int) -> Address:
        return self.hosts[self.process(number)], PORT + number // len(self.hosts)

    def region(self, address: Address) -> int:
        return region_of(self.number(address))

    def number(self, address: Address) -> int | None:
        """Returns the number of the hollow member at this address, or None if there is none."""
        host, port = address
        if host not in self.hosts or port < PORT:
            return None
        return (port - PORT) * len(self.hosts) + self.hosts.index(host)


def name_of(number: int) -> str:
    return f"{PREFIX}{number}"


def number_of(name: str) -> int | None:
    """Returns the number in a hollow member's name, or None for a member that is not hollow."""
    digits = name.removeprefix(PREFIX)
    return int(digits) if digits != name and digits.isdigit() else None


def region_of(number: int | None) -> int:
    """Returns the region of a hollow member; real gateways, whose number is None, are in the first region."""
    return 0 if number is None else number % REGIONS


def control_name(number: int) -> str:
    return f"{CONTROL_PREFIX}{number}"


def region_of_name(name: str) -> int:
    """Returns the region of a hollow member or a real gateway."""
    return region_of(number_of(name))


def of_rack(rack: int, numbers: Iterable[int]) -> list[int]:
    return [number for number in numbers if number % RACKS == rack]


def of_zone(zone: int, numbers: Iterable[int]) -> list[int]:
    return [number for number in numbers if number % ZONES == zone]


class Partition:
    """Drops traffic in both directions between a region that is cut off and all others."""

    def __init__(self, region: Callable[[Address], int]) -> None:
        """Takes the function `region` that returns the region of an address."""
        self._region_of = region
        self._cut: frozenset[int] = frozenset()
        self._regions: dict[Address, int] = {}

    def cut(self, regions: Iterable[int]) -> None:
        """Cuts these regions off from all others; without regions, ends the partition."""
        self._cut = frozenset(regions)

    def passes(self, source: Address, target: Address) -> bool:
        if not self._cut:
            return True
        here, there = self._region(source), self._region(target)
        return here == there or not ({here, there} & self._cut)

    def _region(self, address: Address) -> int:
        found = self._regions.get(address)
        if found is None:
            found = self._regions[address] = self._region_of(address)
        return found
