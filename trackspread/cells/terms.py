"""The vocabulary of cells: what a cell is, what the directory says of it, what travels between the levels.

A cell is a group of gateways of one zone with a view of its own (`membership/`); its seeds are control
machines. The control machines are one more such group; who coordinates its view leads, and keeps the
directory of cells. Whatever the directory says is numbered by the leader's epoch and a count in it: of two
words the greater holds. Times are integer nanoseconds on each process's own monotonic clock and never
travel. Nothing here decides.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..membership.actions import Action
from ..membership.actions import StatusEvent as StatusEvent
from ..membership.identifiers import MS as MS
from ..membership.identifiers import SECOND as SECOND
from ..membership.identifiers import Address, Epoch, MemberId, ViewNumber

SEEDS = 3  # of a cell: it goes on without any one of them


class Zone(NamedTuple):
    """Where a gateway runs; a zone is known by its region's name and its own."""

    region: str
    zone: str

    def __str__(self) -> str:
        return f"{self.region}/{self.zone}"


class ControlMachine(NamedTuple):
    """One machine set aside for control; all processes of a fleet name the same ones in the same order."""

    name: str
    region: str
    zone: str
    address: Address


class Cell(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the directory. `closing`: its gateways are moved to others, and nobody is sent there."""

    name: str
    region: str
    zone: str
    number: ViewNumber  # of this entry
    seeds: tuple[Address, ...]
    closing: bool = False

    @property
    def place(self) -> Zone:
        return Zone(self.region, self.zone)


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """Which cell a gateway is to be in. `number`: of this word; a gateway takes none that is not greater than
    the one it goes by."""

    number: ViewNumber
    cell: Cell


class Policy(NamedTuple):
    """How large cells are; `merged` is well under `target` and half of `most` well over `least`, so that
    neither a split nor a merge brings about the other."""

    target: int = 24  # gateways up to which one is sent to a cell
    most: int = 28  # above which it is split; with the seeds its view still fits into one datagram
    least: int = 8  # up to which it is merged with another
    merged: int = 20  # that both may have together
    gateways: int = 8_192  # in the fleet at most; more are not placed
    hold: int = 30 * SECOND  # ns for which a cell has to be small before it is closed
    replace: int = 120 * SECOND  # ns without a seed after which its cells are closed: a restart takes less
    idle: int = 600 * SECOND  # ns without gateways until it is closed: these may just be out of reach


class Body(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """What one message is about."""


class Locate(Body, frozen=True):
    """A gateway asks a control machine which cell it is to be in, and goes on asking while it is in one.
    `address`: by which it is reached; `held`: what it goes by."""

    region: str
    zone: str
    address: Address
    held: Placement | None = None


class Located(Body, frozen=True):
    """The answer to a gateway, or unasked when it is to move. `to`: just this process of its name."""

    to: MemberId
    placement: Placement


class Forwarded(Body, frozen=True):
    """A control machine passes a gateway's question on to the leader."""

    who: MemberId
    locate: Locate


class Placed(Body, frozen=True):
    """The leader's answer to `Forwarded`, to be passed on to the gateway at `address`."""

    to: MemberId
    address: Address
    placement: Placement


class Seed(Body, frozen=True):
    """The leader wants this cell seeded by whoever is told so, or its entry taken up."""

    cell: Cell


class Retire(Body, frozen=True):
    """The leader has given a cell up: it is empty, and no longer to be seeded. A control machine's word, too,
    to a leader that came later and wants it seeded."""

    name: str
    number: ViewNumber


class Move(Body, frozen=True):
    """The leader wants these gateways of a cell told that they are to go to another."""

    cell: str
    gateways: tuple[str, ...]
    placement: Placement


class CellReport(Body, frozen=True):
    """A seed tells the leader of a cell: its entry there, and a page of the gateways in the view it holds."""

    cell: Cell
    view: ViewNumber
    members: tuple[MemberId, ...]
    page: int = 0
    pages: int = 1


class Noted(Body, frozen=True):
    """The leader has this much of a cell from whoever is told so."""

    name: str
    number: ViewNumber
    view: ViewNumber


class Describe(Body, frozen=True):
    """An operator asks for this page of the directory."""

    page: int


class CellRow(msgspec.Struct, frozen=True, array_like=True):
    """One cell, for an operator."""

    name: str
    gateways: int
    closing: bool


class Described(Body, frozen=True):
    """The leader's answer; another control machine's has no rows, and who it takes for the leader."""

    leader: Address | None
    page: int
    pages: int
    refused: int  # questions of gateways beyond what the fleet may have
    rows: tuple[CellRow, ...]


Bodies = (
    Locate | Located | Forwarded | Placed | Seed | Retire | Move | CellReport | Noted | Describe | Described
)


class Message(msgspec.Struct, frozen=True, array_like=True):
    """One datagram between gateway and control machine, or between two of these. `epoch`: of the leader that
    speaks as such; none for everybody else."""

    fleet: str
    name: str
    born: int
    body: Bodies
    epoch: Epoch | None = None

    @property
    def who(self) -> MemberId:
        return self.name, self.born


# What a core wants done.


class Send(NamedTuple):
    """Send this datagram."""

    to: Address
    message: Message


class InCell(NamedTuple):
    """What the member of this view wants done: a cell's, or under the fleet's own name the control
    machines'."""

    fleet: str
    action: Action


class Joined(NamedTuple):
    """The gateway takes part in this cell from now on."""

    placement: Placement


class Left(NamedTuple):
    """The gateway no longer takes part in this cell, and holds nothing in it."""

    placement: Placement


class Leads(NamedTuple):
    """This control machine leads under this epoch from now on; none: it leads no more."""

    epoch: Epoch | None


CellsAction = Send | InCell | Joined | Left | Leads | StatusEvent
