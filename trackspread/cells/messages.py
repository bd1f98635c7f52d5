"""Defines the messages between gateways and control machines.

A cell is a group of gateways of one zone with a view of its own (`membership/`); its seeds are control
machines. The control machines are one more such group; the coordinator of its view is the leader and keeps
the directory of cells. Each decision of the directory is numbered by the leader's epoch and a count within
it: of two messages, the one with the greater number takes precedence.

The structs are encoded as arrays: the order of their fields is the wire format, and the tag of a body
identifies its kind. Where a class has been renamed, its tag keeps the former name.
"""

from __future__ import annotations

import msgspec

from ..membership.identifiers import Address, Epoch, MemberId, ViewNumber
from .topology import Zone


class Cell(msgspec.Struct, frozen=True, array_like=True):
    """Holds an entry of the directory.

    The gateways of a `closing` cell are moved to other cells, and no gateway is placed in it.
    """

    name: str
    region: str
    zone: str
    number: ViewNumber  # number of this entry
    seeds: tuple[Address, ...]
    closing: bool = False

    @property
    def location(self) -> Zone:
        """Returns the zone of the cell's gateways."""
        return Zone(self.region, self.zone)


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """Assigns a gateway to a cell.

    `number` is that of this decision; a gateway follows only decisions with a greater number.
    """

    number: ViewNumber
    cell: Cell


class Body(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Provides the base class of all message bodies; a message carries one body."""


class PlacementRequest(Body, frozen=True, tag="Locate"):
    """Asks a control machine for a gateway's placement; the gateway repeats this while it is in a cell.

    `address` is the address at which the gateway is reached, and `current` the placement that it follows.
    """

    region: str
    zone: str
    address: Address
    current: Placement | None = None

    @property
    def location(self) -> Zone:
        """Returns the zone of the gateway."""
        return Zone(self.region, self.zone)


class PlacementNotice(Body, frozen=True, tag="Located"):
    """Answers a gateway's request, or notifies a gateway that has to move.

    `member_id` is the process that the notice is for.
    """

    member_id: MemberId
    placement: Placement


class ForwardedRequest(Body, frozen=True, tag="Forwarded"):
    """Forwards a gateway's request from a control machine to the leader."""

    member_id: MemberId
    request: PlacementRequest


class ForwardedPlacement(Body, frozen=True, tag="Placed"):
    """Answers a `ForwardedRequest`; the receiver forwards the placement to the gateway at `address`."""

    member_id: MemberId
    address: Address
    placement: Placement


class SeedCell(Body, frozen=True, tag="Seed"):
    """Orders the receiver to seed this cell, or to update its entry."""

    cell: Cell


class RetireCell(Body, frozen=True, tag="Retire"):
    """Announces that the leader has retired an empty cell, which its seeds then no longer seed.

    A control machine also sends this to a later leader that orders it to seed the retired cell.
    """

    name: str
    number: ViewNumber


class MoveGateways(Body, frozen=True, tag="Move"):
    """Orders the receiver to notify these gateways of a cell that they have to move to another."""

    cell_name: str
    gateways: tuple[str, ...]
    placement: Placement


class CellReport(Body, frozen=True):
    """Reports a cell from a seed to the leader, with its entry and a page of the gateways in its view."""

    cell: Cell
    view_number: ViewNumber
    members: tuple[MemberId, ...]
    page: int = 0
    pages: int = 1


class ReportReceipt(Body, frozen=True, tag="Noted"):
    """Confirms that the leader has received the reports of a cell up to these numbers."""

    name: str
    number: ViewNumber
    view_number: ViewNumber


class DirectoryRequest(Body, frozen=True, tag="Describe"):
    """Asks for a page of the directory on behalf of an operator."""

    page: int


class CellRow(msgspec.Struct, frozen=True, array_like=True):
    """Describes one cell to an operator."""

    name: str
    gateways: int
    closing: bool


class DirectoryPage(Body, frozen=True, tag="Described"):
    """Answers a `DirectoryRequest`.

    The answer of a control machine that does not lead has no rows, only the address of the known leader.
    """

    leader: Address | None
    page: int
    pages: int
    rejected_requests: int  # requests of gateways beyond the limit of the fleet
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
    """Holds one datagram between a gateway and a control machine, or between two control machines.

    `epoch` is that of a leader's decision, and None in all other messages.
    """

    fleet: str
    name: str
    created_at_ms: int
    body: MessageBody
    epoch: Epoch | None = None

    @property
    def member_id(self) -> MemberId:
        """Returns the sender's name and creation time."""
        return self.name, self.created_at_ms
