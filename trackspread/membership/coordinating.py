"""What the coordinator does: issues views under its epoch, and grants parts to those that ask.

The rules of this file:
- Only the owner of the seeds' election speaks, and asks at each instant whether it still is; two own nothing
  at the same time (`planning/election.py`). Its epoch is its ballot: nobody else ever numbers a view with it.
- A member is in the view that is live and asks for its part: one that the coordinator can't hear, or that
  can't hear it, holds nothing whoever else reaches it.
- A view names its parent: the newest that the coordinator knows of, its own or a predecessor's.
- Those in a view are granted their own place's slots, and even shares of the rest (`slots.py`); a
  witness is granted none.

| a member is | and | in the next view |
| --- | --- | --- |
| live | has asked within `LAPSE` | yes |
| live, in the view | not asked since this coordinator came, less than `LAPSE` ago | yes |
| live | has not asked for longer | no, until it asks again |
| gone | | no |

May know: who is live, who asked when. May not know: how either is found out.
"""

from __future__ import annotations

from .parts import SPAN, Parts
from .slots import WHOLE, assign, from_bytes
from .terms import MS, NO_NUMBER, WITNESS, Epoch, Number, Place, Renew, View, Who

FIRST = 600 * MS  # ns from being elected until the first view: members ask anew within it
GAP = 150 * MS  # ns between views: what happens together makes one
LAPSE = int(1.2 * SPAN)  # ns without a question after which a member is left out


class Coordinating:
    """The coordinator under one epoch, for as long as it owns."""

    def __init__(self, now: int, epoch: Epoch, known: View | None, seeds: int, keep: int) -> None:
        """`known`: the newest view that is known here, the predecessors' last at best. `seeds`: how many
        there are; `keep`: ns that a silent member keeps its part for."""
        self.epoch, self.parts, self.keep = epoch, Parts(now, epoch, keep), keep
        self._seeds, self._fresh = seeds, set[int]()
        self.view: View | None = None
        self._known = known
        self._parent: Number = known.number if known is not None else NO_NUMBER
        self._began = self._issued_at = now
        self._asked: dict[Who, int] = {}
        self._places: dict[Who, Place] = {}
        self._shares: tuple[object, dict[Who, int]] = None, {}  # of whom all have asked, and by what that was

    def heard_of(self, number: Number) -> None:
        """A predecessor's view that somebody holds: what is issued next follows it."""
        if self.view is None:
            self._parent = max(self._parent, number)

    def _members(self, now: int, live: tuple[Who, ...]) -> tuple[Who, ...]:
        before = self.view or self._known
        kept = set(before.members) if before is not None and now - self._began < LAPSE else set()
        return tuple(
            who for who in live if who in kept or now - self._asked.get(who, self._began - LAPSE) < LAPSE
        )

    def tick(self, now: int, live: tuple[Who, ...]) -> View | None:
        """A new view, where one is due."""
        for who in [w for w, at in self._asked.items() if now - at >= LAPSE]:
            del self._asked[who]
            self._places.pop(who, None)
        self.parts.forget(now)
        if now - self._issued_at < (GAP if self.view is not None else FIRST):
            return None
        members = self._members(now, live)
        if not members or (self.view is not None and self.view.members == members):
            return None
        count = self.view.number[2] if self.view is not None else 0
        self._issued_at = now
        parent = self.view.number if self.view is not None else self._parent
        self.view = View((*self.epoch, count + 1), parent, members)
        return self.view

    def asked(self, now: int, who: Who, acceptor: int, renew: Renew) -> tuple[int, int]:
        """Serial and slots for a member that asks; `acceptor`: which seed it is, -1 for none."""
        self._asked[who], self._places[who] = now, renew.place
        part = from_bytes(renew.part)
        self.heard_of(renew.number)
        if acceptor >= 0 and renew.fresh and acceptor not in self._fresh:
            self._fresh.add(acceptor)
            if len(self._fresh) == self._seeds:
                self.parts.begin(now)
        # Until there is a view, everybody may go on with what it holds.
        wanted = part if self.view is None else self._share(now, who, self.view)
        return self.parts.grant(now, who, wanted, renew.serial, part)

    def _share(self, now: int, who: Who, view: View) -> int:
        """What it is to have; found anew only where something has changed, as all ask all along."""
        free = WHOLE & ~self.parts.elsewhere(now, view.members)
        places = tuple(self._places.get(each, (-1, 0)) for each in view.members)
        if self._shares[0] != (by := (view.number, free, places)):
            bearing = [w for w, place in zip(view.members, places, strict=True) if place != WITNESS]
            self._shares = by, assign(bearing, self._places, self.parts.held(now), free)
        return self._shares[1].get(who, 0)
