"""How a member keeps its part: whom it asks, when, and what it makes of the answers.

The coordinator is asked for the part anew all along. While it does not answer, every seed is asked
whether it is there: what is held lasts no longer than some seed does that knows of it (`parts.py`).

May know: who coordinates, times handed in. May not know: how words travel.
"""

from __future__ import annotations

from .parts import SPAN, TOUCH, Holding
from .slots import from_bytes, to_bytes
from .terms import WITNESS, Epoch, Grant, Number, Place, Renew

RENEW = SPAN // 5  # ns between questions for one's part
WANTING = RENEW // 4  # ns between them for who holds nothing yet: others' parts shrink within that time


class Asking:
    """One member's; `holding` is what has come of it."""

    def __init__(self, now: int, place: Place) -> None:
        self.holding, self._place = Holding(), place
        self.led_at = now  # when the coordinator was last asked something that it answered
        self.at = now  # when it is to be asked next
        self._touching: dict[int, int] = {}  # pings to seeds, by number: when

    def due(self, now: int, epoch: Epoch, number: Number) -> Renew | None:
        """The question for the coordinator of this epoch, where it is due."""
        if now < self.at:
            return None
        settled = self._place == WITNESS or bool(self.holding.part(now))
        self.at = now + (RENEW if settled else WANTING)
        if not self.holding.ask(now, epoch):
            return None
        fresh = self.holding.first in (None, epoch)
        kept = to_bytes(self.holding.kept(now))
        return Renew(now, epoch, self.holding.serial, kept, number, self._place, fresh)

    def unled(self, now: int) -> bool:
        """Whether the coordinator does not answer, and there is something to be held."""
        return now - self.led_at > 2 * RENEW and bool(self.holding.granted)

    def touch(self, now: int, seq: int) -> None:
        """A seed is pinged by this number."""
        for old in [s for s, at in self._touching.items() if now - at > TOUCH]:
            del self._touching[old]
        self._touching[seq] = now

    def touched(self, seq: int, first: Epoch | None) -> bool:
        """Whether this answer was to such a ping; `first` is what it says of its sender."""
        at = self._touching.pop(seq, None)
        if at is not None and self.holding.known_to(first):
            self.holding.touched(at)
        return at is not None

    def take(self, now: int, grant: Grant) -> bool:
        """Whether it counts."""
        part = from_bytes(grant.part)
        taken = self.holding.take(now, grant.stamp, grant.epoch, grant.serial, part, grant.lasts)
        if taken:
            self.led_at = max(self.led_at, grant.stamp)
        return taken
