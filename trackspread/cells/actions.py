"""Defines the actions that a control machine or a gateway requests of its host."""

from __future__ import annotations

from typing import NamedTuple

from ..membership.actions import Action, StatusEvent
from ..membership.identifiers import Address, Epoch
from .messages import CellsMessage, Placement


class SendCellsMessage(NamedTuple):
    """Asks the host to send this datagram."""

    address: Address
    message: CellsMessage


class MemberAction(NamedTuple):
    """Carries an action of the member in one view.

    `fleet` is the name of the cell, or of the fleet for the view of the control machines.
    """

    fleet: str
    action: Action


class CellJoined(NamedTuple):
    """Reports that the gateway is a member of this cell from now on."""

    placement: Placement


class CellLeft(NamedTuple):
    """Reports that the gateway is no longer a member of this cell and holds none of its slots."""

    placement: Placement


class LeadershipChanged(NamedTuple):
    """Reports that this control machine leads in this epoch from now on, or stops leading if it is None."""

    epoch: Epoch | None


CellsAction = SendCellsMessage | MemberAction | CellJoined | CellLeft | LeadershipChanged | StatusEvent
