"""How much of long bodies clients may have here at once, and whose turn it is where there is no more room.

May know: sizes, who came first. May not know: sockets, protocols, what becomes of a call.
"""

from __future__ import annotations

from typing import Protocol


class Sender(Protocol):
    """Whose body is coming."""

    def room(self, there: bool) -> None:
        """Whether more of it may be read."""


class Bodies:
    """Room for long bodies of all clients together: those that come and those of open requests.

    A body is kept until its request is answered, so that another attempt can follow. Where room is short,
    nothing more is read of those that come: requests that are open end in their time and free theirs, and
    where none is open, the body that began first goes on alone. So some always end, and none waits for
    ever."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.held = 0
        self._coming: dict[Sender, int] = {}  # bytes so far, in the order in which they began
        self._kept: dict[object, int] = {}

    def grew(self, sender: Sender, size: int) -> None:
        self.held += size - self._coming.get(sender, 0)
        self._coming[sender] = size
        self._judge()

    def whole(self, sender: Sender, slot: object, size: int) -> None:
        """All of it has come, for the request of this place; 0 where none is kept."""
        came = self._coming.pop(sender, 0) if self._coming else 0
        if size:
            self._kept[slot] = size
        if size or came:
            self.held += size - came
            self._judge()

    def gone(self, slot: object) -> None:
        if self._kept and (size := self._kept.pop(slot, 0)):
            self.held -= size
            self._judge()

    def left(self, sender: Sender) -> None:
        if self._coming and (size := self._coming.pop(sender, 0)):
            self.held -= size
            self._judge()

    def _judge(self) -> None:
        room = self.held <= self.most
        for number, sender in enumerate(list(self._coming)):
            sender.room(room or not (number or self._kept))
