"""Limits the memory of long request bodies, and orders their reception when the limit is reached.

It knows sizes and the order of arrival. It knows no sockets, no protocols and no outcomes of requests.
"""

from __future__ import annotations

from typing import Protocol


class BodySender(Protocol):
    """Receives a long body, and can be paused."""

    def allow_body(self, is_allowed: bool) -> None:
        """Allows or stops reading more of the body."""


class BodyMemory:
    """Counts the bytes of long bodies of all clients: those being received and those of open requests.

    A body is kept until its request is answered, so that a retry can send it again. Over the limit, bodies
    being received are not read any further: open requests end within their deadlines and free their memory,
    and if no request is open, the body that began first is read to its end. So some request always ends, and
    no body waits forever.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._incoming: dict[BodySender, int] = {}  # bytes received, in the bodies' order
        self._retained: dict[object, int] = {}  # bytes of complete bodies by response slot

    def body_grew(self, sender: BodySender, size: int) -> None:
        """Counts a body that is being received and has reached `size` bytes."""
        self.used_bytes += size - self._incoming.get(sender, 0)
        self._incoming[sender] = size
        self._update_senders()

    def body_complete(self, sender: BodySender, slot: object, size: int) -> None:
        """Counts a complete body for its response slot; a `size` of 0 means that no body is kept."""
        received = self._incoming.pop(sender, 0) if self._incoming else 0
        if size:
            self._retained[slot] = size
        if size or received:
            self.used_bytes += size - received
            self._update_senders()

    def release(self, slot: object) -> None:
        """Frees the body of a request that has ended."""
        if self._retained and (size := self._retained.pop(slot, 0)):
            self.used_bytes -= size
            self._update_senders()

    def discard(self, sender: BodySender) -> None:
        """Frees the incomplete body of a connection that is closed."""
        if self._incoming and (size := self._incoming.pop(sender, 0)):
            self.used_bytes -= size
            self._update_senders()

    def _update_senders(self) -> None:
        is_within_limit = self.used_bytes <= self.limit_bytes
        for position, sender in enumerate(list(self._incoming)):
            sender.allow_body(is_within_limit or not (position or self._retained))
