"""Defines the actions that the cores return: messages to send, and events for the log and the event log."""

from __future__ import annotations

from typing import NamedTuple

from ..membership.actions import StatusEvent
from ..membership.identifiers import Address
from .messages import MessageBody


class Send(NamedTuple):
    """Asks the host to send this body to the recipient."""

    recipient: Address
    body: MessageBody


Action = Send | StatusEvent
