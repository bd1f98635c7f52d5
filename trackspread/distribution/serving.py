"""How one replica answers gateways: deltas from its log, snapshots in pieces, and refusals when it is busy.

An answer to a gateway that is up to date costs the same whatever the fleet's size. Datagrams with entries are
bounded by a number a second: whoever comes beyond it is told when to come again, later the more there are.
What fits one datagram is always answered, so that a change is not held up by others that catch up.

May know: the log, polls. May not know: how changes are agreed on.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Iterable

from .log import Log
from .terms import (
    ENTRIES_MOST,
    MS,
    SECOND,
    SERVICES_MOST,
    Address,
    Bodies,
    Cursor,
    Delta,
    Entry,
    NeedSnapshot,
    NeedSubscription,
    Piece,
    Poll,
    Refused,
    Subscribe,
)

PIECES = 12  # that answer one poll, at most: a burst that sockets' buffers hold
PIECES_ALL = 48  # likewise for one that wants all services: a replica that catches up
SUBSCRIPTIONS_MOST = 8192  # that are remembered; a forgotten one is asked for again
PARTIAL_MOST = 256  # subscriptions of which parts are still missing
AGAIN_LEAST, AGAIN_MOST = 200, 10_000  # ms that a gateway is told to wait

ALL = 0  # stands for all services


def digest(services: Iterable[str]) -> int:
    """By which a subscription is known: the same in all processes, never `ALL`."""
    joined = "\0".join(sorted(services)).encode()
    return int.from_bytes(hashlib.blake2b(joined, digest_size=7).digest()) or 1


class Subscriptions:
    """The services that gateways want, by digest, the longest unused forgotten first."""

    def __init__(self) -> None:
        self._whole: OrderedDict[int, frozenset[str]] = OrderedDict()
        self._partial: OrderedDict[tuple[Address, int], dict[int, tuple[str, ...]]] = OrderedDict()

    def find(self, subscription: int) -> frozenset[str] | None:
        found = self._whole.get(subscription)
        if found is not None:
            self._whole.move_to_end(subscription)
        return found

    def take(self, source: Address, told: Subscribe) -> None:
        if not 0 <= told.part < told.parts <= SERVICES_MOST:
            return
        parts = self._partial.setdefault((source, told.subscription), {})
        parts[told.part] = told.services
        if len(parts) == told.parts:
            del self._partial[source, told.subscription]
            self._complete(told.subscription, frozenset().union(*parts.values()))
        while len(self._partial) > PARTIAL_MOST:
            self._partial.popitem(last=False)

    def _complete(self, subscription: int, services: frozenset[str]) -> None:
        if digest(services) != subscription or len(services) > SERVICES_MOST:
            return
        self._whole[subscription] = services
        while len(self._whole) > SUBSCRIPTIONS_MOST:
            self._whole.popitem(last=False)


class Serving:
    """One replica's answers."""

    def __init__(self, log: Log, pieces: int) -> None:
        """`pieces`: datagrams with entries that gateways are sent in a second."""
        self._log, self._cost = log, SECOND // pieces
        self._free_at = 0  # when all datagrams that were sent are paid for
        self._promised_at = 0  # until when others have been told to come again
        self.subscriptions = Subscriptions()

    def replace(self, log: Log) -> None:
        """Another log takes the former one's place."""
        self._log = log

    def answer(self, now: int, poll: Poll, heard_at: int, bounded: bool = True) -> list[Bodies]:
        """`heard_at`: when all that the leader had committed then was here; `bounded`: whether the bound on
        pieces holds for who asks."""
        log = self._log
        if poll.version > log.committed:
            return [Refused(poll.number, 0)]
        wanted = self._wanted(poll.subscription)
        if wanted is None:
            return [NeedSubscription(poll.number)]
        busy = bounded and self._free_at > now + PIECES * self._cost
        if poll.cursor is not None:
            if busy:
                return [Refused(poll.number, self._again(now))]
            return self._pieces(now, poll, poll.cursor, wanted)
        made = self._delta(poll, wanted, (now - heard_at) // MS)
        if busy and not (isinstance(made, Delta) and not made.more):
            return [Refused(poll.number, self._again(now))]
        if isinstance(made, Delta) and made.entries:
            self._spend(now, poll, 1)
        return [made]

    def _spend(self, now: int, poll: Poll, datagrams: int) -> None:
        """Of the bound; what replicas pull is not under it."""
        if poll.subscription != ALL:
            self._free_at = max(self._free_at, now) + datagrams * self._cost

    def _wanted(self, subscription: int) -> Callable[[str], bool] | None:
        if subscription == ALL:
            return lambda service: True
        services = self.subscriptions.find(subscription)
        return services.__contains__ if services is not None else None

    def _delta(self, poll: Poll, wanted: Callable[[str], bool], age: int) -> Delta | NeedSnapshot:
        log = self._log
        if poll.version == log.committed:
            return Delta(poll.number, log.committed, age, (), False)
        entries = log.committed_after(poll.version) if log.holds(poll.version) else None
        if entries is None:
            return NeedSnapshot(poll.number)
        made, size, complete = list[Entry](), 0, poll.version
        for entry in entries:
            if entry.service and wanted(entry.service):
                size += entry.size
                if made and size > ENTRIES_MOST:
                    return Delta(poll.number, complete, age, tuple(made), True)
                made.append(entry)
            complete = entry.version
        return Delta(poll.number, complete, age, tuple(made), False)

    def _pieces(
        self,
        now: int,
        poll: Poll,
        cursor: Cursor,
        wanted: Callable[[str], bool],
    ) -> list[Bodies]:
        most = PIECES_ALL if poll.subscription == ALL else PIECES
        found, end = list[tuple[Entry, ...]](), False
        while not end and len(found) < most:
            entries, end = self._log.piece(cursor, wanted)
            found.append(entries)
            if entries:
                cursor = Cursor(entries[-1].service, entries[-1].key)
        self._spend(now, poll, len(found))
        return [
            Piece(poll.number, part, len(found), self._log.committed, entries, end)
            for part, entries in enumerate(found)
        ]

    def _again(self, now: int) -> int:
        """ms: each that is refused is told a later moment than the one before it."""
        latest = now + AGAIN_MOST * MS
        self._promised_at = min(latest, max(self._promised_at, self._free_at) + PIECES * self._cost)
        return max(AGAIN_LEAST, (self._promised_at - now) // MS)
