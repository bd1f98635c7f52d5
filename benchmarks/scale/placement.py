"""Where hollow members are: process, address, rack, zone and region by number; and which ways are cut.

May know: numbers, addresses. May not know: sockets, what datagrams say.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

Address = tuple[str, int]

REGIONS, ZONES, RACKS = 4, 12, 60  # each divides the next: a rack is in one zone
PORT = 20_000  # of a process's first member, at a host of loopback that is this process's alone
PREFIX = "hollow-"  # of a hollow member's name, before its number
CONTROL_PREFIX = "control-"  # of a control machine's


class Placement(msgspec.Struct, frozen=True):
    """`hosts`: of loopback, one for each hollow process; members are dealt out to them in turn."""

    hosts: tuple[str, ...]

    def process(self, number: int) -> int:
        return number % len(self.hosts)

    def address(self, number: int) -> Address:
        return self.hosts[self.process(number)], PORT + number // len(self.hosts)

    def region(self, address: Address) -> int:
        return region_of(self.number(address))

    def number(self, address: Address) -> int | None:
        """Whose address it is; None for one that is no hollow member's."""
        host, port = address
        if host not in self.hosts or port < PORT:
            return None
        return (port - PORT) * len(self.hosts) + self.hosts.index(host)


def name_of(number: int) -> str:
    return f"{PREFIX}{number}"


def number_of(name: str) -> int | None:
    """None for a member that is not hollow."""
    digits = name.removeprefix(PREFIX)
    return int(digits) if digits != name and digits.isdigit() else None


def region_of(number: int | None) -> int:
    """Real gateways are in the first region."""
    return 0 if number is None else number % REGIONS


def control_name(number: int) -> str:
    return f"{CONTROL_PREFIX}{number}"


def region_of_name(name: str) -> int:
    """Of a hollow member or a real gateway."""
    return region_of(number_of(name))


def of_rack(rack: int, numbers: Iterable[int]) -> list[int]:
    return [number for number in numbers if number % RACKS == rack]


def of_zone(zone: int, numbers: Iterable[int]) -> list[int]:
    return [number for number in numbers if number % ZONES == zone]


class Partition:
    """Drops what goes between a region that is cut off and all others, in both directions."""

    def __init__(self, region: Callable[[Address], int]) -> None:
        """`region`: of whoever has an address."""
        self._region_of = region
        self._cut: frozenset[int] = frozenset()
        self._regions: dict[Address, int] = {}

    def cut(self, regions: Iterable[int]) -> None:
        """From now on these regions are cut off from all others; none: everything is whole again."""
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
