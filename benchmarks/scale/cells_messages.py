"""Defines the messages between the run and the processes of cells: one JSON object per line."""

from __future__ import annotations

import msgspec

from .lag import Lag
from .messages import DeadVerdict, Life, MemberId, Message
from .placement import CONTROL_PREFIX, PORT, RACKS, REGIONS, ZONES, Address, number_of

CELL = 24  # Gateways of a cell where there are enough (`cells/messages.py`, the target of the policy).


class Layout(msgspec.Struct, frozen=True):
    """Assigns addresses, zones and regions to gateways and control machines.

    Gateways are assigned in blocks of `each` to `hosts`, which are one for each process. `control` holds the
    addresses of the control machines. Zones and regions follow from the numbers.
    """

    fleet: str
    control: tuple[Address, ...]
    hosts: tuple[str, ...]
    each: int

    def address(self, gateway: int) -> Address:
        return self.hosts[gateway // self.each], PORT + gateway % self.each

    def region(self, address: Address) -> int:
        """Returns the region of the gateway or control machine at this address."""
        if address in self.control:
            return control_zone(self.control.index(address)) % REGIONS
        process = self.hosts.index(address[0])
        return gateway_zone(process * self.each + address[1] - PORT) % REGIONS


def gateway_zone(number: int) -> int:
    """Returns a gateway's zone.

    Each zone gets the gateways of a cell before the next gets any, so that cells are full at all sizes.
    """
    return number // CELL % ZONES


def control_zone(number: int) -> int:
    return number % ZONES


def region_of_member(name: str) -> int:
    """Returns the region of a gateway or a control machine by its name."""
    gateway = number_of(name)
    if gateway is not None:
        return gateway_zone(gateway) % REGIONS
    return control_zone(int(name.removeprefix(CONTROL_PREFIX))) % REGIONS


def in_rack(rack: int, number: int) -> bool:
    """Returns whether a gateway is in the rack; all zones have the same number of racks."""
    return gateway_zone(number) == rack % ZONES and number % (RACKS // ZONES) == rack // ZONES


class SetControl(Message, frozen=True):
    """Is the first line: this process is a control machine."""

    layout: Layout
    number: int


class SetHollow(Message, frozen=True):
    """Is the first line: this process runs hollow gateways."""

    layout: Layout


class Start(Message, frozen=True):
    """Starts these members, none of which runs."""

    numbers: tuple[int, ...]


class Kill(Message, frozen=True):
    """Ends these members at once, without a message to others."""

    numbers: tuple[int, ...]


class CutOff(Message, frozen=True):
    """Cuts these regions off from all others; an empty tuple ends the partition."""

    regions: tuple[int, ...]


class Spread(Message, frozen=True):
    """Spreads infrequent tasks over their interval, as if the members had started at different times."""


class Tell(Message, frozen=True):
    """Asks for the state that the members hold."""


class Count(Message, frozen=True):
    """Asks for the resources used and the bytes sent so far."""


class Quit(Message, frozen=True):
    """Closes all members and ends the process."""


CellsCommand = SetControl | SetHollow | Start | Kill | CutOff | Spread | Tell | Count | Quit


class InView(msgspec.Struct, frozen=True):
    """Describes a member of a cell: the number of the view it holds and the digest of that view's members.

    `part` says whether the member holds slots, or is a control machine, which has none.
    """

    who: MemberId
    cell: str
    number: tuple[int, int, int]
    members: int
    part: bool


class Holding(Message, frozen=True):
    """Reports the state that the members of one process hold.

    `nowhere` counts members in no cell, `telling` the updates still to be gossiped. `gateways` and `cells`
    are those in the directory of the leading control machine, and -1 for all others.
    """

    at: int  # Nanoseconds.
    views: tuple[InView, ...]
    nowhere: int
    telling: int
    leads: bool = False
    gateways: int = -1
    cells: int = -1


class Counted(Message, frozen=True):
    """Reports one process since its start; peak, lag and verdicts are those since the last report."""

    at: int  # Nanoseconds.
    cpu: float  # Seconds.
    memory: int  # Resident bytes.
    members: int
    datagrams: int  # Sent.
    sent: int  # Bytes of datagrams and tables.
    received: int
    peak: int  # Bytes of the busiest member within one second: the greater of sent and received.
    lag: Lag
    lives: tuple[Life, ...]
    verdicts: tuple[DeadVerdict, ...]


CellsReply = Holding | Counted
