"""What the run and the processes of cells say to each other, a JSON object a line."""

from __future__ import annotations

import msgspec

from .lag import Lag
from .messages import DeadVerdict, Life, MemberId, Message
from .placement import CONTROL_PREFIX, PORT, RACKS, REGIONS, ZONES, Address, number_of

CELL = 24  # gateways that a cell has where there are enough (`cells/messages.py`, the policy's target)


class Layout(msgspec.Struct, frozen=True):
    """Where everybody is. Gateways are dealt out in blocks of `each` to `hosts`, one for each process;
    `control`: the control machines' addresses. Zones and regions go by numbers."""

    fleet: str
    control: tuple[Address, ...]
    hosts: tuple[str, ...]
    each: int

    def address(self, gateway: int) -> Address:
        return self.hosts[gateway // self.each], PORT + gateway % self.each

    def region(self, address: Address) -> int:
        """Of whoever has this address."""
        if address in self.control:
            return control_zone(self.control.index(address)) % REGIONS
        process = self.hosts.index(address[0])
        return gateway_zone(process * self.each + address[1] - PORT) % REGIONS


def gateway_zone(number: int) -> int:
    """A zone has a cell's gateways before the next has any: cells are full at all sizes measured."""
    return number // CELL % ZONES


def control_zone(number: int) -> int:
    return number % ZONES


def region_of_member(name: str) -> int:
    """Of a gateway or a control machine, by its name."""
    gateway = number_of(name)
    if gateway is not None:
        return gateway_zone(gateway) % REGIONS
    return control_zone(int(name.removeprefix(CONTROL_PREFIX))) % REGIONS


def in_rack(rack: int, number: int) -> bool:
    """Whether this gateway is there: each zone has as many racks."""
    return gateway_zone(number) == rack % ZONES and number % (RACKS // ZONES) == rack // ZONES


class SetControl(Message, frozen=True):
    """The first line: this process is a control machine."""

    layout: Layout
    number: int


class SetHollow(Message, frozen=True):
    """The first line: this process is one of hollow gateways."""

    layout: Layout


class Start(Message, frozen=True):
    """Start these, of which none runs."""

    numbers: tuple[int, ...]


class Kill(Message, frozen=True):
    """End these without a word."""

    numbers: tuple[int, ...]


class CutOff(Message, frozen=True):
    """Cut these regions off from all others; none: whole again."""

    regions: tuple[int, ...]


class Spread(Message, frozen=True):
    """Spread what members do seldom over its interval, as where they started at different times."""


class Tell(Message, frozen=True):
    """Tell what is held."""


class Count(Message, frozen=True):
    """Tell what was used and sent so far."""


class Quit(Message, frozen=True):
    """Close everything."""


CellsCommand = SetControl | SetHollow | Start | Kill | CutOff | Spread | Tell | Count | Quit


class InView(msgspec.Struct, frozen=True):
    """One member of one cell's view: which view it holds, the digest of that view's members, and whether it
    has a part, or is a control machine, which has none."""

    who: MemberId
    cell: str
    number: tuple[int, int, int]
    members: int
    part: bool


class Holding(Message, frozen=True):
    """Of one process: what each of its members holds, who is in no cell, words still to be told; of the
    control machine that leads, how many gateways and cells its directory has, else -1."""

    at: int  # ns
    views: tuple[InView, ...]
    nowhere: int
    telling: int
    leads: bool = False
    gateways: int = -1
    cells: int = -1


class Counted(Message, frozen=True):
    """Of one process since its start; peak, lag and verdicts since the last question."""

    at: int  # ns
    cpu: float  # s
    memory: int  # bytes resident
    members: int
    datagrams: int  # sent
    sent: int  # bytes, datagrams and tables
    received: int
    peak: int  # bytes of the busiest within one second, the greater of sent and received
    lag: Lag
    lives: tuple[Life, ...]
    verdicts: tuple[DeadVerdict, ...]


CellsReply = Holding | Counted
