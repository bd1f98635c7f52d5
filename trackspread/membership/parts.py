"""Who may act on how much of what all share: parts that are granted for a time and never add up to more than
the whole.

The rules of this file, on the coordinator's side:
- What a member may hold is the most of all that was granted to it and has neither been replaced, as the
  member says, nor surely ended. A grant is given only if all that all may hold fits in the whole with it.
- A member counts a grant from before it asked for it, shorter by the drift; here it counts from when it was
  given, longer by it. So whoever shrinks does so at once, and whoever grows waits until that is proven, or
  until the other's grant has surely ended.
- A coordinator that is new knows nothing of what its predecessors granted. Until all of that has surely ended
  a member is granted what it says it holds, at most: what all hold together was inside the whole before.

May know: members, the parts they ask for, times handed in. May not know: views, messages, why a part is
wanted.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .terms import DRIFT, SECOND, WHOLE, Epoch, Who

TERM = 2 * SECOND  # ns that a part is granted for; a member asks five times in it
ENDED = int(TERM * (1.0 + 2 * DRIFT))  # from when it was given until it has surely ended
HELD = int(TERM * (1.0 - DRIFT))  # for its holder, from when it asked


@dataclass(slots=True)
class Given:
    """What one member may hold: grants by serial, each with its part and when it has surely ended."""

    grants: dict[int, tuple[int, int]] = field(default_factory=dict)

    def most(self, now: int) -> int:
        for serial in [s for s, (_, until) in self.grants.items() if until <= now]:
            del self.grants[serial]
        return max((part for part, _ in self.grants.values()), default=0)


class Parts:
    """The book of one coordinator, under one epoch."""

    def __init__(self, now: int, epoch: Epoch) -> None:
        self.epoch, self._serial = epoch, 0
        self._unknown_until = now + ENDED
        self._given: dict[Who, Given] = {}

    def out(self, now: int) -> int:
        """All that anybody may hold, as far as is known here."""
        return sum(given.most(now) for given in self._given.values())

    def settled(self, now: int) -> bool:
        """Whether all that anybody may hold is known here."""
        return now >= self._unknown_until

    def grant(self, now: int, who: Who, wanted: int, serial: int, part: int) -> tuple[int, int]:
        """Serial and part for a member that says it holds `part` by grant `serial`; 0: of a predecessor."""
        given = self._given.get(who)
        if given is None:
            given = self._given[who] = Given()
            if not serial and part:
                given.grants[0] = part, now + ENDED
        for old in [s for s in given.grants if s < serial]:
            del given.grants[old]
        own = given.most(now)
        allowed = WHOLE - (self.out(now) - own) if self.settled(now) else own
        made = max(0, min(wanted, allowed))
        self._serial += 1
        given.grants[self._serial] = made, now + ENDED
        return self._serial, made

    def released(self, who: Who) -> None:
        """It has given up what it held, and asks for nothing more."""
        self._given.pop(who, None)

    def forget(self, now: int) -> None:
        """Members of which nothing is left."""
        for who in [w for w, given in self._given.items() if not given.most(now) and not given.grants]:
            del self._given[who]


class Holding:
    """A member's side: its part, until when, and by which grant."""

    def __init__(self) -> None:
        self.epoch: Epoch = (0, -1)
        self.serial = self.granted = 0
        self.until = 0

    def part(self, now: int) -> int:
        """What may be acted on at this instant."""
        return self.granted if now < self.until else 0

    def ask(self, now: int, epoch: Epoch) -> bool:
        """A coordinator is about to be asked: no grant of an older one is taken any more. False where it is
        itself an older one."""
        if epoch < self.epoch:
            return False
        if epoch > self.epoch:
            # What is held stays held until it ends, and the new coordinator is told of it.
            self.epoch, self.serial = epoch, 0
        return True

    def take(self, now: int, stamp: int, epoch: Epoch, serial: int, part: int) -> bool:
        """A grant that came, late or twice as may be; whether it counts."""
        if epoch != self.epoch or serial <= self.serial or stamp > now:
            return False
        self.serial, self.granted, self.until = serial, part, stamp + HELD
        return True

    def drop(self) -> None:
        """Given up: left, or fenced off."""
        self.granted = self.until = 0
