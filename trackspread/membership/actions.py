"""What a member wants its host to do."""

from __future__ import annotations

from typing import NamedTuple

from .identifiers import Address
from .messages import MemberMessage


class SendMessage(NamedTuple):
    """Send this datagram."""

    address: Address
    message: MemberMessage


class ExchangeTables(NamedTuple):
    """Exchange member tables with this address over a connection; the answer goes to `Member.merge`."""

    address: Address


class PeerDataReceived(NamedTuple):
    """Data of the program of a present member; `slots`: the set of slots that it holds."""

    name: str
    data: bytes
    slots: int


class StatusEvent(NamedTuple):
    """Something has changed; for the log, the event log and users of the view.

    `kind` and the keys of `details` stand in the event log's lines.
    """

    kind: str
    details: dict[str, object]


Action = SendMessage | ExchangeTables | PeerDataReceived | StatusEvent
