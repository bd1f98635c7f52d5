"""Defines the actions that a member requests of its host."""

from __future__ import annotations

from typing import NamedTuple

from .identifiers import Address
from .messages import MemberMessage


class SendMessage(NamedTuple):
    """Asks the host to send this datagram."""

    address: Address
    message: MemberMessage


class ExchangeTables(NamedTuple):
    """Asks the host to exchange member tables with this address over a connection.

    The table that is returned goes to `Member.merge`.
    """

    address: Address


class PeerDataReceived(NamedTuple):
    """Delivers application data from a present member, with the set of slots that this member holds."""

    name: str
    data: bytes
    slots: int


class StatusEvent(NamedTuple):
    """Reports a change for the log, the event log and users of the view.

    `kind` and the keys of `details` are written to the event log.
    """

    kind: str
    details: dict[str, object]


Action = SendMessage | ExchangeTables | PeerDataReceived | StatusEvent
