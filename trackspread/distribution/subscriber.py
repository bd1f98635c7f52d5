"""What one gateway holds of the configuration, and how it keeps that current: it polls one replica.

The rules of this file:
- One poll is under way at a time, about once a period; one that is not answered goes to another replica.
- A delta is complete up to the version that it names, and taken over at once. A snapshot comes in pieces
  while changes go on: it is staged, and acted on only after a delta from the oldest of its pieces on.
- What is acted on never becomes older: a replica that is behind is left for another.
- While nobody answers, what is held stays in force; `fresh_at` tells how old it may be.

| answer | then |
| --- | --- |
| delta, more follows | taken over, polled at once |
| delta | taken over, polled after a period |
| delta of a replica that does not hear its leader | taken over, and as if it were refused |
| need snapshot | staging begins, first pieces are asked for at once |
| pieces | staged; the next are asked for at once, or after the last a delta |
| need subscription | services are sent, polled after a tick |
| refused | another of the region polled when it said, or any other at once, two in a period at most |

May know: its own clock, answers in any order, any number of times. May not know: what values mean.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from .log import Snapshot
from .serving import ALL, digest
from .terms import (
    BEGINNING,
    MS,
    NOTHING,
    SECOND,
    SUBSCRIPTION_PART,
    TICK,
    Action,
    Address,
    Bodies,
    Cursor,
    Delta,
    Entry,
    NeedSnapshot,
    NeedSubscription,
    StatusEvent,
    Piece,
    Poll,
    Refused,
    Send,
    Subscribe,
    SubscriberSettings,
    Version,
)

JITTER = 0.1  # of a wait: gateways that began together don't stay so
OUT_OF_TOUCH = 3 * SECOND  # ns without a word of its leader after which another replica is asked as well
HOME = 30 * SECOND  # ns after which those of its own region are tried again
ELSEWHERE = 2  # replicas that are asked one after the other in a period, where one has nothing to say


class Staged:
    """A snapshot on its way. `cursor`: up to where it is complete; None: wholly. `base`: the oldest of its
    pieces, from which on a delta is taken; `newest`: of them, which that has to reach."""

    def __init__(self) -> None:
        self.snapshot: Snapshot = {}
        self.cursor: Cursor | None = BEGINNING
        self.base: Version | None = None
        self.newest = NOTHING

    def take(self, piece: Piece) -> None:
        self.base = piece.committed if self.base is None else min(self.base, piece.committed)
        self.newest = max(self.newest, piece.committed)
        for entry in piece.entries:
            self.snapshot.setdefault(entry.service, {})[entry.key] = entry
        if piece.entries:
            self.cursor = Cursor(piece.entries[-1].service, piece.entries[-1].key)


class Subscriber:
    """One gateway's. `snapshot`, `version`: what is acted on; `fresh_at`: when it was surely the newest that
    a replica in touch with its leader had, None where it never was."""

    def __init__(self, settings: SubscriberSettings, now: int, seed: int) -> None:
        self.settings, self._rng = settings, random.Random(seed)
        self.snapshot: Snapshot = {}
        self.version = NOTHING
        self.fresh_at: int | None = None
        self._subscription = digest(settings.services) if settings.services is not None else ALL
        self._staged: Staged | None = None
        self._number = self._rng.getrandbits(30)  # of the last poll
        self._asked_at: int | None = None  # when the poll that is under way began
        self.answered_at = now  # when a poll was last answered
        self._next = now + int(settings.period * self._rng.random() / 2)
        self._near = self._shuffled(settings.replicas or settings.others)
        self._far = self._shuffled(settings.others if settings.replicas else ())
        self._place = self._elsewhere = 0  # in the order of replicas; of this period
        self._near_at = now  # when a replica of its region was last well, or tried
        self._pieces: dict[int, Piece] = {}

    def _turn(self) -> None:
        self._place = (self._place + 1) % (len(self._near) + len(self._far))

    def _shuffled(self, addresses: Iterable[Address]) -> list[Address]:
        made = list(addresses)
        self._rng.shuffle(made)
        return made

    @property
    def target(self) -> Address:
        """The replica that is asked."""
        near = len(self._near)
        return self._near[self._place] if self._place < near else self._far[self._place - near]

    @property
    def due(self) -> int:
        """When `tick` has something to do."""
        return self._next if self._asked_at is None else self._asked_at + self.settings.patience

    def age(self, now: int) -> int | None:
        """ns for which others may hold something newer; None where nothing was ever had."""
        return now - self.fresh_at if self.fresh_at is not None else None

    def value(self, service: str, key: str) -> bytes | None:
        """What is in force."""
        entry = self.snapshot.get(service, {}).get(key)
        return entry.value if entry is not None else None

    def subscribe(self, now: int, services: frozenset[str]) -> None:
        """Other services from now on; what is held stays in force until all of these are there."""
        if services == self.settings.services:
            return
        self.settings = self.settings._replace(services=services)
        self._subscription, self._staged = digest(services), Staged()
        self._asked_at, self._next = None, now

    # Asking.

    def tick(self, now: int) -> list[Action]:
        if self._asked_at is not None:
            if now - self._asked_at < self.settings.patience:
                return []
            self._take_pieces()  # what came of them is kept
            self._turn()
            return [self._poll(now)]
        return [self._poll(now)] if now >= self._next else []

    def _poll(self, now: int) -> Send:
        self._number += 1
        self._asked_at, self._pieces = now, {}
        staged = self._staged
        if staged is None:
            body = Poll(self._number, self.version, self._subscription)
        elif staged.cursor is not None:
            body = Poll(self._number, NOTHING, self._subscription, staged.cursor)
        else:
            body = Poll(self._number, staged.base or NOTHING, self._subscription)
        return Send(self.target, body)

    def _wait(self, now: int, span: int) -> list[Action]:
        """The next poll, after about so long."""
        self._asked_at = None
        self._next = now + int(span * (1.0 + JITTER * self._rng.uniform(-1.0, 1.0)))
        return []

    # Answers.

    def received(self, now: int, body: Bodies, source: Address) -> list[Action]:
        """Whatever comes; what does not answer the poll under way is passed over."""
        match body:
            case Delta() | Piece() | NeedSnapshot() | NeedSubscription() | Refused():
                asked_at = self._asked_at
                if asked_at is None or body.number != self._number or source != self.target:
                    return []
                self.answered_at = now
            case _:
                return []
        match body:
            case Delta():
                return self._delta(now, body, asked_at)
            case Piece():
                return self._piece(now, body)
            case NeedSnapshot():
                self._staged = Staged()
                return [self._poll(now)]
            case NeedSubscription():
                self._wait(now, TICK)
                return self._subscribe()
            case Refused():
                return self._refused(now, body)

    def _subscribe(self) -> list[Action]:
        parts: list[list[str]] = [[]]
        size = 0
        for service in sorted(self.settings.services or ()):
            size += len(service.encode()) + 3
            if size > SUBSCRIPTION_PART:
                parts.append([])
                size = len(service.encode()) + 3
            parts[-1].append(service)
        return [
            Send(self.target, Subscribe(self._subscription, number, len(parts), tuple(part)))
            for number, part in enumerate(parts)
        ]

    def _refused(self, now: int, told: Refused) -> list[Action]:
        if told.again:
            self._place = (self._place + 1) % len(self._near)  # one that has less to do, maybe
            return self._wait(now, told.again * MS)
        return self._ask_elsewhere(now)

    def _ask_elsewhere(self, now: int) -> list[Action]:
        """Another replica, at once or after a period."""
        self._turn()
        self._elsewhere += 1
        if self._elsewhere < ELSEWHERE:
            return [self._poll(now)]
        self._elsewhere = 0
        return self._wait(now, self.settings.period)

    def _piece(self, now: int, told: Piece) -> list[Action]:
        if any(each.committed != told.committed for each in self._pieces.values()):
            return []  # the poll came twice, and something was committed in between
        self._pieces[told.part] = told
        if len(self._pieces) < told.parts:
            return []
        self._take_pieces()
        return [self._poll(now)]

    def _take_pieces(self) -> None:
        """Those that follow the cursor without a gap."""
        part = 0
        while self._staged is not None and (piece := self._pieces.get(part)) is not None:
            self._staged.take(piece)
            part += 1
            if part == piece.parts and piece.end:
                self._staged.cursor = None
        self._pieces = {}

    def _delta(self, now: int, told: Delta, asked_at: int) -> list[Action]:
        staged = self._staged
        if staged is not None:
            if staged.cursor is not None:
                return []
            _change(staged.snapshot, told.entries)
            staged.base = told.version
            if told.more or told.version < max(self.version, staged.newest):
                return self._elsewhere_or_on(now, told)
            self._staged, self.snapshot = None, staged.snapshot
        elif told.version < self.version:
            return self._ask_elsewhere(now)
        else:
            _change(self.snapshot, told.entries)
        made: list[Action] = []
        if told.version != self.version:
            self.version = told.version
            made.append(StatusEvent("acts", {"version": told.version, "changes": len(told.entries)}))
        if told.more:
            return [*made, self._poll(now)]
        self.fresh_at = max(self.fresh_at or 0, asked_at - told.age * MS)
        if told.age * MS > OUT_OF_TOUCH:
            return made + self._ask_elsewhere(now)
        self._elsewhere = 0
        self._come_home(now)
        return made + self._wait(now, self.settings.period)

    def _come_home(self, now: int) -> None:
        """From a replica of another region, now and then."""
        if self._place < len(self._near):
            self._near_at = now
        elif now - self._near_at > HOME:
            self._near_at, self._place = now, self._rng.randrange(len(self._near))

    def _elsewhere_or_on(self, now: int, told: Delta) -> list[Action]:
        """The staged snapshot is not complete yet, or older than what is acted on."""
        if told.more:
            return [self._poll(now)]
        return self._ask_elsewhere(now)


def _change(snapshot: Snapshot, entries: Iterable[Entry]) -> None:
    for entry in entries:
        keys = snapshot.setdefault(entry.service, {})
        if entry.value is not None:
            keys[entry.key] = entry
            continue
        keys.pop(entry.key, None)
        if not keys:
            del snapshot[entry.service]
