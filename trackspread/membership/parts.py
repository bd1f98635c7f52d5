"""Who may act on how much of what all share: slots that are granted for a time, each to one member at most.

The rules of this file, on the coordinator's side:
- What a member may hold is all that was granted to it and has neither been replaced, as the member says, nor
  surely ended. Only slots are granted that nobody else may hold.
- A member counts a grant from before it asked for it, shorter by the drift; here it counts from when it was
  given, longer by it. So whoever shrinks does so at once, and whoever grows waits until that is proven, or
  until the other's grant has surely ended.
- A coordinator that is new knows nothing of what its predecessors granted but that no slot was granted twice.
  What members that ask it say they hold is known from then on; the rest may be out with others until all of
  that has surely ended, and is nobody's here until then.

And on the member's: it acts on its part only as long as it lasts, and while it is in touch with a seed that
knows of it (`TOUCH`). A fleet whose seeds have all started anew has therefore surely lost what was granted
before within that time, and begins without waiting for the end of grants that nobody can remember.

May know: members, the slots they ask for, times handed in. May not know: views, messages, why a part is
wanted.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .slots import WHOLE
from .terms import DRIFT, SECOND, Epoch, Who

SPAN = 2 * SECOND  # ns in which a member asks five times
TOUCH = int(SPAN * (1.0 - DRIFT))  # ns without word from a seed that knows it, after which a part is nothing


def ended(lasts: int) -> int:
    """ns from when a grant was given until it has surely ended."""
    return int(lasts * (1.0 + 2 * DRIFT))


def held(lasts: int) -> int:
    """ns for its holder, from when it asked."""
    return int(lasts * (1.0 - DRIFT))


@dataclass(slots=True)
class Given:
    """What one member may hold: grants by serial, each with its slots and when it has surely ended."""

    grants: dict[int, tuple[int, int]] = field(default_factory=dict)

    def most(self, now: int) -> int:
        for serial in [s for s, (_, until) in self.grants.items() if until <= now]:
            del self.grants[serial]
        slots = 0
        for part, _ in self.grants.values():
            slots |= part
        return slots


class Parts:
    """The book of one coordinator, under one epoch. `keep`: ns that a grant lasts."""

    def __init__(self, now: int, epoch: Epoch, keep: int) -> None:
        self.epoch, self._serial, self._keep = epoch, 0, keep
        self._unknown, self._unknown_until = WHOLE, now + ended(keep)
        self._told: set[Who] = set()  # those whose former part is known, while not all surely has ended
        self._given: dict[Who, Given] = {}

    def unknown(self, now: int) -> int:
        """What predecessors may have granted to members that have not asked here."""
        if self._unknown and now >= self._unknown_until:
            self._unknown = 0
            self._told.clear()
        return self._unknown

    def begin(self, now: int) -> None:
        """All seeds are known to have started anew: what was granted before ends with the last touch."""
        self._unknown_until = min(self._unknown_until, now + ended(SPAN))

    def held(self, now: int) -> dict[Who, int]:
        """What each may hold that has asked here."""
        return {who: given.most(now) for who, given in self._given.items()}

    def elsewhere(self, now: int, members: tuple[Who, ...]) -> int:
        """What others than these may hold. What is not known counts once all of these have asked."""
        known, slots = set(members), 0
        for who, given in self._given.items():
            slots |= given.most(now) if who not in known else 0
        return slots | (self.unknown(now) if known <= self._told else 0)

    def grant(self, now: int, who: Who, wanted: int, serial: int, part: int) -> tuple[int, int]:
        """Serial and slots for a member that says it holds `part` by grant `serial`; 0: of a predecessor."""
        given = self._given.get(who)
        if given is None:
            given = self._given[who] = Given()
            if not serial and part:
                given.grants[0] = part, now + ended(self._keep)
        if self.unknown(now) and who not in self._told:
            self._told.add(who)
            self._unknown &= ~part
        for old in [s for s in given.grants if s < serial]:
            del given.grants[old]
        taken = self._unknown
        for other, theirs in self._given.items():
            taken |= theirs.most(now) if other != who else 0
        made = wanted & ~taken
        self._serial += 1
        given.grants[self._serial] = made, now + ended(self._keep)
        return self._serial, made

    def released(self, who: Who) -> None:
        """It holds nothing any more, and asks for nothing."""
        self._given.pop(who, None)

    def forgotten(self, now: int, name: str) -> int:
        """No process of this name holds anything, says an operator; what that frees."""
        slots = 0
        for who in [w for w in self._given if w[0] == name]:
            slots |= self._given.pop(who).most(now)
        return slots

    def forget(self, now: int) -> None:
        """Members of which nothing is left."""
        for who in [w for w, given in self._given.items() if not given.most(now) and not given.grants]:
            del self._given[who]


class Holding:
    """A member's side: its slots, until when, and by which grant."""

    def __init__(self) -> None:
        self.first: Epoch | None = None  # of the coordinator that first granted anything
        self.epoch: Epoch = (0, -1)  # of the newest that was asked
        self.granted_by: Epoch = (0, -1)
        self.serial = self.granted = 0
        self.granted_until = self._touched_until = 0

    @property
    def until(self) -> int:
        return min(self.granted_until, self._touched_until)

    def part(self, now: int) -> int:
        """What may be acted on at this instant."""
        return self.granted if now < self.until else 0

    def kept(self, now: int) -> int:
        """What is granted still, though it may be out of touch: to a new coordinator it is known by that."""
        return self.granted if now < self.granted_until else 0

    def touched(self, stamp: int) -> None:
        """A seed that knows of this member has answered what it was asked at `stamp`."""
        self._touched_until = max(self._touched_until, stamp + TOUCH)

    def known_to(self, first: Epoch | None) -> bool:
        """Whether a seed that was first granted a part by the coordinator of `first` has been there since
        this one was granted its own: a fleet whose seeds all started anew begins without it."""
        return first is not None and first <= self.granted_by

    def ask(self, now: int, epoch: Epoch) -> bool:
        """A coordinator is about to be asked: no grant of an older one is taken any more. False where it is
        itself an older one."""
        if epoch < self.epoch:
            return False
        if epoch > self.epoch:
            # What is held stays held until it ends, and the new coordinator is told of it.
            self.epoch, self.serial = epoch, 0
        return True

    def take(self, now: int, stamp: int, epoch: Epoch, serial: int, part: int, lasts: int) -> bool:
        """A grant that came, late or twice as may be; whether it counts."""
        if epoch != self.epoch or serial <= self.serial or stamp > now:
            return False
        self.serial, self.granted, self.granted_until = serial, part, stamp + held(lasts)
        self.granted_by, self.first = epoch, self.first or epoch
        self.touched(stamp)
        return True

    def drop(self) -> None:
        """Given up: left, or fenced off."""
        self.granted = self.granted_until = 0
