"""Messages between gateways and control machines.

A cell is a group of gateways of one zone with a view of its own (`membership/`); its seeds are control
machines. The control machines are one more such group; the coordinator of its view leads, and keeps the
directory of cells. All that the directory decides is numbered by the leader's epoch and a count in it: of two
messages the greater number holds.

The structs are arrays on the wire: the order of their fields is the format, and the tag of a body is its
kind. Tags differ from class names where they are older than these names.
"""

from __future__ import annotations

import msgspec

from ..membership.identifiers import Address, Epoch, MemberId, ViewNumber
from .topology import Zone


class Cell(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the directory. `closing`: its gateways are moved to other cells, and none is placed
    there."""

    name: str
    region: str
    zone: str
    number: ViewNumber  # of this entry
    seeds: tuple[Address, ...]
    closing: bool = False

    @property
    def location(self) -> Zone:
        """The zone of its gateways."""
        return Zone(self.region, self.zone)


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """Which cell a gateway is to be in. `number`: of this decision; a gateway follows only greater ones."""

    number: ViewNumber
    cell: Cell


class Body(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Content of one message."""


class PlacementRequest(Body, frozen=True, tag="Locate"):
    """A gateway asks a control machine for its placement, and goes on asking while it is in a cell.

    `address`: where it is reached; `current`: the placement that it follows.
    """

    region: str
    zone: str
    address: Address
    current: Placement | None = None

    @property
    def location(self) -> Zone:
        """The zone of the gateway."""
        return Zone(self.region, self.zone)


class PlacementNotice(Body, frozen=True, tag="Located"):
    """The answer to a gateway, or sent to one that is to move. `member_id`: the process that it is for."""

    member_id: MemberId
    placement: Placement


class ForwardedRequest(Body, frozen=True, tag="Forwarded"):
    """A control machine forwards a gateway's request to the leader."""

    member_id: MemberId
    request: PlacementRequest


class ForwardedPlacement(Body, frozen=True, tag="Placed"):
    """The leader's answer to `ForwardedRequest`, to be forwarded to the gateway at `address`."""

    member_id: MemberId
    address: Address
    placement: Placement


class SeedCell(Body, frozen=True, tag="Seed"):
    """The leader wants the receiver to seed this cell, or to update its entry."""

    cell: Cell


class RetireCell(Body, frozen=True, tag="Retire"):
    """The leader has retired an empty cell, which is no longer to be seeded; also sent by a control machine
    to a later leader that wants it seeded."""

    name: str
    number: ViewNumber


class MoveGateways(Body, frozen=True, tag="Move"):
    """The leader wants these gateways of a cell notified that they are to move to another."""

    cell_name: str
    gateways: tuple[str, ...]
    placement: Placement


class CellReport(Body, frozen=True):
    """A seed reports a cell to the leader: its entry there, and a page of the gateways in its view."""

    cell: Cell
    view_number: ViewNumber
    members: tuple[MemberId, ...]
    page: int = 0
    pages: int = 1


class ReportReceipt(Body, frozen=True, tag="Noted"):
    """The leader has received the receiver's report of a cell up to these numbers."""

    name: str
    number: ViewNumber
    view_number: ViewNumber


class DirectoryRequest(Body, frozen=True, tag="Describe"):
    """An operator asks for a page of the directory."""

    page: int


class CellRow(msgspec.Struct, frozen=True, array_like=True):
    """One cell, for an operator."""

    name: str
    gateways: int
    closing: bool


class DirectoryPage(Body, frozen=True, tag="Described"):
    """The leader's answer; another control machine's has no rows, and the address of the leader it knows."""

    leader: Address | None
    page: int
    pages: int
    rejected_requests: int  # of gateways beyond the limit of the fleet
    rows: tuple[CellRow, ...]


MessageBody = (
    PlacementRequest
    | PlacementNotice
    | ForwardedRequest
    | ForwardedPlacement
    | SeedCell
    | RetireCell
    | MoveGateways
    | CellReport
    | ReportReceipt
    | DirectoryRequest
    | DirectoryPage
)


class CellsMessage(msgspec.Struct, frozen=True, array_like=True):
    """One datagram between a gateway and a control machine, or between two of these. `epoch`: of a leader's
    decision; None for all other messages."""

    fleet: str
    name: str
    created_at_ms: int
    body: MessageBody
    epoch: Epoch | None = None

    @property
    def member_id(self) -> MemberId:
        """Its sender."""
        return self.name, self.created_at_ms
