"""What the cores want done: messages to send, and events for the log and the record."""

from __future__ import annotations

from typing import NamedTuple

from ..membership.actions import StatusEvent
from ..membership.identifiers import Address
from .messages import MessageBody


class Send(NamedTuple):
    """Send this body."""

    recipient: Address
    body: MessageBody


Action = Send | StatusEvent
