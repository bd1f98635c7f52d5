"""What a control machine or a gateway wants its host to do."""

from __future__ import annotations

from typing import NamedTuple

from ..membership.actions import Action, StatusEvent
from ..membership.identifiers import Address, Epoch
from .messages import CellsMessage, Placement


class SendCellsMessage(NamedTuple):
    """Send this datagram."""

    address: Address
    message: CellsMessage


class MemberAction(NamedTuple):
    """What the member of a view wants done; `fleet`: the cell's name, or the fleet's for the control
    machines."""

    fleet: str
    action: Action


class CellJoined(NamedTuple):
    """The gateway takes part in this cell from now on."""

    placement: Placement


class CellLeft(NamedTuple):
    """The gateway no longer takes part in this cell, and holds no slots of it."""

    placement: Placement


class LeadershipChanged(NamedTuple):
    """This control machine leads in this epoch from now on; None: it leads no more."""

    epoch: Epoch | None


CellsAction = SendCellsMessage | MemberAction | CellJoined | CellLeft | LeadershipChanged | StatusEvent
