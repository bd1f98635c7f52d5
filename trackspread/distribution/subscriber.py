"""What one gateway has of the configuration, and how it keeps that current: it polls one replica.

Rules:
- One poll is under way at a time, about once a period; one that is not answered goes to another replica.
- A delta is complete up to the version that it names, and taken over at once. A snapshot comes in pieces
  while changes go on: it is staged, and acted on only after a delta from the oldest of its pieces on.
- What is acted on never becomes older: a replica that is behind is given up for another.
- While no replica answers, the configuration stays in force; `fresh_at_ns` says how old it may be.

| answer | then |
| --- | --- |
| delta, more follows | taken over, polled at once |
| delta | taken over, polled after a period |
| delta of a replica out of touch with its leader | applied; another replica is polled |
| need snapshot | staging begins, first pieces are requested at once |
| pieces | staged; the next are requested at once, or after the last a delta |
| need subscription | services are sent, polled after a tick |
| rejected with a time | another replica of the region is polled after that time |
| rejected without a time | another replica is polled at once, after two of them only in the next period |

Knows its own clock, and answers in any order, any number of times. No I/O.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from .log import Snapshot
from .poll_server import ALL_SERVICES, subscription_digest
from ..decide.time_units import MILLISECOND, SECOND
from .actions import Action, Send
from .messages import (
    Delta,
    MessageBody,
    NeedSnapshot,
    NeedSubscription,
    Poll,
    Rejected,
    SnapshotPiece,
    Subscribe,
)
from .settings import TICK_NS, SubscriberSettings
from .versions import NO_VERSION, START, SUBSCRIPTION_PART_BYTES, Cursor, Entry, Version
from ..membership.actions import StatusEvent
from ..membership.identifiers import Address

JITTER = 0.1  # part of a wait: gateways that began together don't stay in step
OUT_OF_TOUCH_NS = 3 * SECOND  # of a replica with its leader, after which another is polled as well
RETURN_TO_REGION_NS = 30 * SECOND  # after which replicas of the own region are tried again
# Replicas that are asked one after the other in a period, where one has nothing to say.
MAX_REPLICAS_A_PERIOD = 2


class StagedSnapshot:
    """A snapshot that is being received.

    `cursor`: up to where it is complete; None: to its end. `oldest_version`: of its pieces, from which on a
    delta is requested; `newest_version`: of its pieces, which the delta has to reach."""

    def __init__(self) -> None:
        self.snapshot: Snapshot = {}
        self.cursor: Cursor | None = START
        self.oldest_version: Version | None = None
        self.newest_version = NO_VERSION

    def add(self, piece: SnapshotPiece) -> None:
        """Stage one piece."""
        self.oldest_version = (
            piece.committed if self.oldest_version is None else min(self.oldest_version, piece.committed)
        )
        self.newest_version = max(self.newest_version, piece.committed)
        for entry in piece.entries:
            self.snapshot.setdefault(entry.service, {})[entry.key] = entry
        if piece.entries:
            self.cursor = Cursor(piece.entries[-1].service, piece.entries[-1].key)


class Subscriber:
    """One gateway's subscription.

    `snapshot`, `version`: what is in force; `fresh_at_ns`: when it was surely the newest that a replica in
    touch with its leader had, None where it never was."""

    def __init__(self, settings: SubscriberSettings, now: int, seed: int) -> None:
        self.settings = settings
        self._rng = random.Random(seed)
        self.snapshot: Snapshot = {}
        self.version = NO_VERSION
        self.fresh_at_ns: int | None = None
        self._subscription = (
            subscription_digest(settings.services) if settings.services is not None else ALL_SERVICES
        )
        self._staged: StagedSnapshot | None = None
        self._number = self._rng.getrandbits(30)  # of the last poll
        self._polled_at_ns: int | None = None  # when the pending poll was sent
        self.answered_at_ns = now  # when a poll was last answered
        self._next_poll_ns = now + int(settings.period_ns * self._rng.random() / 2)
        self._regional_replicas = self._shuffled(settings.replicas or settings.other_replicas)
        self._other_replicas = self._shuffled(settings.other_replicas if settings.replicas else ())
        # Of the polled replica: those of the region first, then the others.
        self._replica_index = 0
        self._replicas_tried = 0  # in this period, because one had nothing new
        self._regional_since_ns = now  # when a replica of the region last answered, or was tried
        self._pieces: dict[int, SnapshotPiece] = {}

    def _select_next_replica(self) -> None:
        self._replica_index = (self._replica_index + 1) % (
            len(self._regional_replicas) + len(self._other_replicas)
        )

    def _shuffled(self, addresses: Iterable[Address]) -> list[Address]:
        shuffled = list(addresses)
        self._rng.shuffle(shuffled)
        return shuffled

    @property
    def replica(self) -> Address:
        """The replica that is polled."""
        near = len(self._regional_replicas)
        return (
            self._regional_replicas[self._replica_index]
            if self._replica_index < near
            else self._other_replicas[self._replica_index - near]
        )

    @property
    def due_ns(self) -> int:
        """When `tick` is to be called next."""
        return (
            self._next_poll_ns
            if self._polled_at_ns is None
            else self._polled_at_ns + self.settings.timeout_ns
        )

    def age_ns(self, now: int) -> int | None:
        """For how long replicas may have had something newer; None where nothing was ever received."""
        return now - self.fresh_at_ns if self.fresh_at_ns is not None else None

    def value(self, service: str, key: str) -> bytes | None:
        """The value that is in force; None where there is none."""
        entry = self.snapshot.get(service, {}).get(key)
        return entry.value if entry is not None else None

    def change_services(self, now: int, services: frozenset[str]) -> None:
        """Subscribe to other services; the snapshot stays in force until all of these have come."""
        if services == self.settings.services:
            return
        self.settings = self.settings._replace(services=services)
        self._subscription = subscription_digest(services)
        self._staged = StagedSnapshot()
        self._polled_at_ns = None
        self._next_poll_ns = now

    # Polls.

    def tick(self, now: int) -> list[Action]:
        """The poll that is due at `now`, ns, if any."""
        if self._polled_at_ns is not None:
            if now - self._polled_at_ns < self.settings.timeout_ns:
                return []
            self._stage_pieces()  # those that came are staged
            self._select_next_replica()
            return [self._poll(now)]
        return [self._poll(now)] if now >= self._next_poll_ns else []

    def _poll(self, now: int) -> Send:
        self._number += 1
        self._polled_at_ns = now
        self._pieces = {}
        staged = self._staged
        if staged is None:
            body = Poll(self._number, self.version, self._subscription)
        elif staged.cursor is not None:
            body = Poll(self._number, NO_VERSION, self._subscription, staged.cursor)
        else:
            body = Poll(self._number, staged.oldest_version or NO_VERSION, self._subscription)
        return Send(self.replica, body)

    def _schedule_poll(self, now: int, span: int) -> list[Action]:
        """Schedule the next poll, after about `span` ns."""
        self._polled_at_ns = None
        self._next_poll_ns = now + int(span * (1.0 + JITTER * self._rng.uniform(-1.0, 1.0)))
        return []

    # Answers.

    def on_message(self, now: int, body: MessageBody, source: Address) -> list[Action]:
        """Take in a message; what does not answer the pending poll is ignored."""
        match body:
            case Delta() | SnapshotPiece() | NeedSnapshot() | NeedSubscription() | Rejected():
                asked_at = self._polled_at_ns
                if asked_at is None or body.number != self._number or source != self.replica:
                    return []
                self.answered_at_ns = now
            case _:
                return []
        match body:
            case Delta():
                return self._on_delta(now, body, asked_at)
            case SnapshotPiece():
                return self._on_piece(now, body)
            case NeedSnapshot():
                self._staged = StagedSnapshot()
                return [self._poll(now)]
            case NeedSubscription():
                self._schedule_poll(now, TICK_NS)
                return self._send_subscription()
            case Rejected():
                return self._on_rejected(now, body)

    def _send_subscription(self) -> list[Action]:
        parts: list[list[str]] = [[]]
        size = 0
        for service in sorted(self.settings.services or ()):
            size += len(service.encode()) + 3
            if size > SUBSCRIPTION_PART_BYTES:
                parts.append([])
                size = len(service.encode()) + 3
            parts[-1].append(service)
        return [
            Send(self.replica, Subscribe(self._subscription, number, len(parts), tuple(part)))
            for number, part in enumerate(parts)
        ]

    def _on_rejected(self, now: int, message: Rejected) -> list[Action]:
        if message.retry_after_ms:
            # One with less load, maybe.
            self._replica_index = (self._replica_index + 1) % len(self._regional_replicas)
            return self._schedule_poll(now, message.retry_after_ms * MILLISECOND)
        return self._try_next_replica(now)

    def _try_next_replica(self, now: int) -> list[Action]:
        """Poll another replica, at once or after a period."""
        self._select_next_replica()
        self._replicas_tried += 1
        if self._replicas_tried < MAX_REPLICAS_A_PERIOD:
            return [self._poll(now)]
        self._replicas_tried = 0
        return self._schedule_poll(now, self.settings.period_ns)

    def _on_piece(self, now: int, message: SnapshotPiece) -> list[Action]:
        if any(each.committed != message.committed for each in self._pieces.values()):
            return []  # the poll was duplicated, and something was committed in between
        self._pieces[message.part] = message
        if len(self._pieces) < message.parts:
            return []
        self._stage_pieces()
        return [self._poll(now)]

    def _stage_pieces(self) -> None:
        """Stage the pieces that follow the cursor without a gap."""
        part = 0
        while self._staged is not None and (piece := self._pieces.get(part)) is not None:
            self._staged.add(piece)
            part += 1
            if part == piece.parts and piece.is_last:
                self._staged.cursor = None
        self._pieces = {}

    def _on_delta(self, now: int, message: Delta, asked_at: int) -> list[Action]:
        staged = self._staged
        if staged is not None:
            if staged.cursor is not None:
                return []
            _change(staged.snapshot, message.entries)
            staged.oldest_version = message.version
            if message.has_more or message.version < max(self.version, staged.newest_version):
                return self._continue_staging(now, message)
            self._staged = None
            self.snapshot = staged.snapshot
        elif message.version < self.version:
            return self._try_next_replica(now)
        else:
            _change(self.snapshot, message.entries)
        actions: list[Action] = []
        if message.version != self.version:
            self.version = message.version
            actions.append(StatusEvent("acts", {"version": message.version, "changes": len(message.entries)}))
        if message.has_more:
            return [*actions, self._poll(now)]
        self.fresh_at_ns = max(self.fresh_at_ns or 0, asked_at - message.age_ms * MILLISECOND)
        if message.age_ms * MILLISECOND > OUT_OF_TOUCH_NS:
            return actions + self._try_next_replica(now)
        self._replicas_tried = 0
        self._return_to_region(now)
        return actions + self._schedule_poll(now, self.settings.period_ns)

    def _return_to_region(self, now: int) -> None:
        """Leave a replica of another region, now and then."""
        if self._replica_index < len(self._regional_replicas):
            self._regional_since_ns = now
        elif now - self._regional_since_ns > RETURN_TO_REGION_NS:
            self._regional_since_ns = now
            self._replica_index = self._rng.randrange(len(self._regional_replicas))

    def _continue_staging(self, now: int, message: Delta) -> list[Action]:
        """The staged snapshot is not complete yet, or older than what is in force."""
        if message.has_more:
            return [self._poll(now)]
        return self._try_next_replica(now)


def _change(snapshot: Snapshot, entries: Iterable[Entry]) -> None:
    for entry in entries:
        keys = snapshot.setdefault(entry.service, {})
        if entry.value is not None:
            keys[entry.key] = entry
            continue
        keys.pop(entry.key, None)
        if not keys:
            del snapshot[entry.service]
