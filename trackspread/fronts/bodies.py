"""Limits the memory of long request bodies, and orders their reception when the limit is reached.

It knows sizes, the order of arrival and time. It knows no sockets, no protocols and no outcomes of requests.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol


class BodySender(Protocol):
    """Receives a long body; it can be paused, and can discard the body."""

    def allow_body(self, is_allowed: bool) -> None:
        """Allows or stops reading more of the body."""

    def body_wait_limit_s(self) -> float:
        """Returns for how many seconds in all the body may wait for memory, so that an answer is in time."""

    def drop_body(self) -> None:
        """Frees what was received of the body, and discards what follows; its request is rejected."""


@dataclass(slots=True)
class IncomingBody:
    """Holds the state of a body that is being received."""

    received_bytes: int = 0
    paused_at_s: float | None = None  # None while the body may be read
    waited_s: float = 0.0  # in earlier pauses
    wait_limit_s: float = 0.0  # known from the first pause on

    def wait_s(self, now_s: float) -> float:
        """Returns how long the body has waited for memory in all."""
        return self.waited_s + (0.0 if self.paused_at_s is None else now_s - self.paused_at_s)


class BodyMemory:
    """Counts the bytes of long bodies of all clients: those being received and those of open requests.

    A body is kept until its request is answered, so that a retry can send it again. Over the limit, bodies
    being received are not read any further: open requests end within their deadlines and free their memory,
    and if no request is open, the body that began first is read to its end.

    Neither is certain to happen in time: the client whose body began first may send nothing more. So a body
    that has waited for its limit gets the memory of those that began before it, and is dropped itself if they
    do not hold enough. Each body is read to its end, kept or not, and its request gets an answer.
    """

    def __init__(self, limit_bytes: int, time_s: Callable[[], float]) -> None:
        """Creates an empty memory; `time_s` returns the present time."""
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._time_s = time_s
        self._incoming: dict[BodySender, IncomingBody] = {}  # in the order in which the bodies began
        self._retained: dict[object, int] = {}  # bytes of complete bodies by response slot
        self._was_within_limit = True  # at the last update of all senders
        self._allowed_beyond_limit: BodySender | None = None  # at that time

    def body_grew(self, sender: BodySender, size: int) -> None:
        """Counts a body that is being received and has reached `size` bytes."""
        body = self._incoming.setdefault(sender, IncomingBody())
        self.used_bytes += size - body.received_bytes
        body.received_bytes = size
        if not self._update_senders():
            self._allow(sender, body, self._may_be_read(sender))

    def body_complete(self, sender: BodySender, slot: object, size: int) -> float:
        """Counts a complete body for its response slot; a `size` of 0 means that no body is kept.

        Returns how long the body has waited for memory, in seconds.
        """
        body = self._incoming.pop(sender, None) if self._incoming else None
        received_bytes = body.received_bytes if body is not None else 0
        if size:
            self._retained[slot] = size
        if size or received_bytes:
            self.used_bytes += size - received_bytes
            self._update_senders()
        return body.wait_s(self._time_s()) if body is not None else 0.0

    def release(self, slot: object) -> None:
        """Frees the body of a request that has ended."""
        if self._retained and (size := self._retained.pop(slot, 0)):
            self.used_bytes -= size
            self._update_senders()

    def discard(self, sender: BodySender) -> None:
        """Frees the incomplete body of a connection that is closed."""
        if self._incoming and (body := self._incoming.pop(sender, None)) is not None:
            self.used_bytes -= body.received_bytes
            self._update_senders()

    def drop(self, sender: BodySender) -> None:
        """Frees a body that is being received, whose request is rejected."""
        if (body := self._incoming.pop(sender, None)) is not None:
            self.used_bytes -= body.received_bytes
        sender.drop_body()
        self._update_senders()

    def end_waits(self) -> None:
        """Drops bodies until none waits that has waited for its limit."""
        while (sender := self._first_overdue()) is not None:
            self._free_memory_for(sender)
            self._update_senders()

    def _first_overdue(self) -> BodySender | None:
        now_s = self._time_s()
        for sender, body in self._incoming.items():
            if body.paused_at_s is not None and body.wait_s(now_s) >= body.wait_limit_s:
                return sender
        return None

    def _free_memory_for(self, waiting: BodySender) -> None:
        """Drops earlier bodies, the first one first, or the waiting one if the earlier ones are too small."""
        excess_bytes = self.used_bytes - self.limit_bytes
        earlier: list[BodySender] = []
        for sender, body in self._incoming.items():
            if sender is waiting or excess_bytes <= 0:
                break
            earlier.append(sender)
            excess_bytes -= body.received_bytes
        for sender in earlier if excess_bytes <= 0 else [waiting]:
            self.used_bytes -= self._incoming.pop(sender).received_bytes
            sender.drop_body()

    def _may_be_read(self, sender: BodySender) -> bool:
        return self._was_within_limit or sender is self._allowed_beyond_limit

    def _update_senders(self) -> bool:
        """Allows or stops the reading of all bodies if that may have changed; returns whether it may."""
        is_within_limit = self.used_bytes <= self.limit_bytes
        allowed = None if self._retained else next(iter(self._incoming), None)
        if is_within_limit is self._was_within_limit and allowed is self._allowed_beyond_limit:
            return False
        self._was_within_limit = is_within_limit
        self._allowed_beyond_limit = allowed
        for sender, body in list(self._incoming.items()):
            self._allow(sender, body, self._may_be_read(sender))
        return True

    def _allow(self, sender: BodySender, body: IncomingBody, is_allowed: bool) -> None:
        if is_allowed is (body.paused_at_s is None):
            return
        now_s = self._time_s()
        if is_allowed:
            body.waited_s = body.wait_s(now_s)
            body.paused_at_s = None
        else:
            body.paused_at_s = now_s
            body.wait_limit_s = body.wait_limit_s or sender.body_wait_limit_s()
        sender.allow_body(is_allowed)
