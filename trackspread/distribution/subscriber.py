"""Holds a gateway's copy of the configuration and keeps it current by polling one replica.

Rules:
- One poll is pending at a time, about once a period; a poll that is not answered goes to another replica.
- A delta is complete up to the version that it names, and is applied at once. A snapshot arrives in pieces
  while changes continue: it is staged, and comes into force only after a delta from the oldest piece on.
- The version in force never becomes older: a replica that is behind is replaced by another.
- While no replica answers, the configuration stays in force; `fresh_at_ns` gives its possible age.

| answer | reaction |
| --- | --- |
| delta with more to follow | it is applied; the replica is polled again at once |
| delta | it is applied; the replica is polled again after a period |
| delta of a replica out of touch with its leader | it is applied; another replica is polled |
| snapshot needed | staging begins; the first pieces are requested at once |
| pieces | they are staged; the next pieces, or after the last a delta, are requested at once |
| subscription needed | the services are sent; the replica is polled again after a tick |
| rejected with a time | another replica of the region is polled after that time |
| rejected without a time | another replica is polled at once; after two rejections only in the next period |

A subscriber knows its own clock and accepts answers in any order, any number of times. The module does no
I/O.
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

JITTER = 0.1  # part of a wait, so that gateways that started together do not poll together
OUT_OF_TOUCH_NS = 3 * SECOND  # age of a delta from which another replica is polled as well
RETURN_TO_REGION_NS = 30 * SECOND  # until a replica of the own region is tried again
# Replicas that are polled one after the other in a period, while they have no newer version.
MAX_REPLICAS_A_PERIOD = 2


class StagedSnapshot:
    """Holds a snapshot that is being received.

    `cursor` is the entry up to which it is complete, or None once all of it is. A delta is requested from
    `oldest_version` on, the oldest of the pieces, and has to reach `newest_version`, the newest of them.
    """

    def __init__(self) -> None:
        self.snapshot: Snapshot = {}
        self.cursor: Cursor | None = START
        self.oldest_version: Version | None = None
        self.newest_version = NO_VERSION

    def add(self, piece: SnapshotPiece) -> None:
        """Stages one piece."""
        self.oldest_version = (
            piece.committed if self.oldest_version is None else min(self.oldest_version, piece.committed)
        )
        self.newest_version = max(self.newest_version, piece.committed)
        for entry in piece.entries:
            self.snapshot.setdefault(entry.service, {})[entry.key] = entry
        if piece.entries:
            self.cursor = Cursor(piece.entries[-1].service, piece.entries[-1].key)


class Subscriber:
    """Polls replicas for one gateway's subscription.

    `snapshot` and `version` are in force. `fresh_at_ns` is the last time at which they were known to be the
    newest that a replica in touch with its leader had, or None if they never were.
    """

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
        self._number = self._rng.getrandbits(30)  # of the newest poll
        self._polled_at_ns: int | None = None  # when the pending poll was sent
        self.answered_at_ns = now  # when a poll was last answered
        self._next_poll_ns = now + int(settings.period_ns * self._rng.random() / 2)
        self._regional_replicas = self._shuffled(settings.replicas or settings.other_replicas)
        self._other_replicas = self._shuffled(settings.other_replicas if settings.replicas else ())
        # The index of the polled replica; replicas of the region come first, then the others.
        self._replica_index = 0
        self._replicas_tried = 0  # in this period, as those before had no newer version
        self._regional_since_ns = now  # when a replica of the region last answered, or was selected
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
        """Returns the replica that is polled."""
        regional_count = len(self._regional_replicas)
        return (
            self._regional_replicas[self._replica_index]
            if self._replica_index < regional_count
            else self._other_replicas[self._replica_index - regional_count]
        )

    @property
    def due_ns(self) -> int:
        """Returns the time at which `tick` has to be called next."""
        return (
            self._next_poll_ns
            if self._polled_at_ns is None
            else self._polled_at_ns + self.settings.timeout_ns
        )

    def age_ns(self, now: int) -> int | None:
        """Returns how long replicas may have had something newer, or None if nothing was ever received."""
        return now - self.fresh_at_ns if self.fresh_at_ns is not None else None

    def value(self, service: str, key: str) -> bytes | None:
        """Returns the value that is in force, or None if there is none."""
        entry = self.snapshot.get(service, {}).get(key)
        return entry.value if entry is not None else None

    def change_services(self, now: int, services: frozenset[str]) -> None:
        """Subscribes to other services; the snapshot stays in force until all of these were received."""
        if services == self.settings.services:
            return
        self.settings = self.settings._replace(services=services)
        self._subscription = subscription_digest(services)
        self._staged = StagedSnapshot()
        self._polled_at_ns = None
        self._next_poll_ns = now

    def tick(self, now: int) -> list[Action]:
        """Returns the poll that is due at `now`, in nanoseconds, if any."""
        if self._polled_at_ns is not None:
            if now - self._polled_at_ns < self.settings.timeout_ns:
                return []
            self._stage_pieces()  # Pieces that were received before the timeout are used.
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
        """Schedules the next poll after about `span` nanoseconds."""
        self._polled_at_ns = None
        self._next_poll_ns = now + int(span * (1.0 + JITTER * self._rng.uniform(-1.0, 1.0)))
        return []

    def on_message(self, now: int, body: MessageBody, source: Address) -> list[Action]:
        """Handles a message; one that does not answer the pending poll is ignored."""
        match body:
            case Delta() | SnapshotPiece() | NeedSnapshot() | NeedSubscription() | Rejected():
                polled_at_ns = self._polled_at_ns
                if polled_at_ns is None or body.number != self._number or source != self.replica:
                    return []
                self.answered_at_ns = now
            case _:
                return []
        match body:
            case Delta():
                return self._on_delta(now, body, polled_at_ns)
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
            # Another replica of the region may have less load.
            self._replica_index = (self._replica_index + 1) % len(self._regional_replicas)
            return self._schedule_poll(now, message.retry_after_ms * MILLISECOND)
        return self._try_next_replica(now)

    def _try_next_replica(self, now: int) -> list[Action]:
        """Polls another replica, at once or after a period."""
        self._select_next_replica()
        self._replicas_tried += 1
        if self._replicas_tried < MAX_REPLICAS_A_PERIOD:
            return [self._poll(now)]
        self._replicas_tried = 0
        return self._schedule_poll(now, self.settings.period_ns)

    def _on_piece(self, now: int, message: SnapshotPiece) -> list[Action]:
        if any(each.committed != message.committed for each in self._pieces.values()):
            return []  # The poll was duplicated, and something was committed between both.
        self._pieces[message.part] = message
        if len(self._pieces) < message.parts:
            return []
        self._stage_pieces()
        return [self._poll(now)]

    def _stage_pieces(self) -> None:
        """Stages the pieces that follow the cursor without a gap."""
        part = 0
        while self._staged is not None and (piece := self._pieces.get(part)) is not None:
            self._staged.add(piece)
            part += 1
            if part == piece.parts and piece.is_last:
                self._staged.cursor = None
        self._pieces = {}

    def _on_delta(self, now: int, message: Delta, polled_at_ns: int) -> list[Action]:
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
        self.fresh_at_ns = max(self.fresh_at_ns or 0, polled_at_ns - message.age_ms * MILLISECOND)
        if message.age_ms * MILLISECOND > OUT_OF_TOUCH_NS:
            return actions + self._try_next_replica(now)
        self._replicas_tried = 0
        self._return_to_region(now)
        return actions + self._schedule_poll(now, self.settings.period_ns)

    def _return_to_region(self, now: int) -> None:
        """Selects a replica of the own region again after `RETURN_TO_REGION_NS` with other replicas."""
        if self._replica_index < len(self._regional_replicas):
            self._regional_since_ns = now
        elif now - self._regional_since_ns > RETURN_TO_REGION_NS:
            self._regional_since_ns = now
            self._replica_index = self._rng.randrange(len(self._regional_replicas))

    def _continue_staging(self, now: int, message: Delta) -> list[Action]:
        """Polls on while the staged snapshot is not complete yet, or is older than the one in force."""
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
