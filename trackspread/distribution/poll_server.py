"""Answers gateways' polls with deltas from the log, snapshots in pieces, or rejections under load.

An answer to a gateway that is up to date costs the same whatever the fleet's size. Datagrams with entries are
limited in rate: a poll beyond the rate is rejected with a time to retry after, which grows with each rejected
poll. Changes that fit one datagram are always sent, so that gateways that catch up do not delay a change for
the others. The module does no I/O.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Iterable

from .log import Log
from ..decide.time_units import MILLISECOND, SECOND
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
from .versions import MAX_ENTRIES_BYTES, MAX_SERVICES, Cursor, Entry
from ..membership.identifiers import Address

MAX_PIECES = 12  # in the answer to one poll: a burst that the buffers of sockets hold
MAX_PIECES_ALL_SERVICES = 48  # the same for a poll of all services, by a replica that catches up
MAX_SUBSCRIPTIONS = 8192  # cached; one that was dropped is requested again
MAX_PARTIAL_SUBSCRIPTIONS = 256  # with parts that are still missing
MIN_RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_MS = 10_000

ALL_SERVICES = 0  # the digest that stands for all services


def subscription_digest(services: Iterable[str]) -> int:
    """Returns a subscription's digest, which is the same in all processes and never `ALL_SERVICES`."""
    joined = "\0".join(sorted(services)).encode()
    return int.from_bytes(hashlib.blake2b(joined, digest_size=7).digest()) or 1


class Subscriptions:
    """Caches the services that gateways subscribe to, by digest; drops the least recently used first."""

    def __init__(self) -> None:
        self._known: OrderedDict[int, frozenset[str]] = OrderedDict()
        self._partial: OrderedDict[tuple[Address, int], dict[int, tuple[str, ...]]] = OrderedDict()

    def find(self, subscription: int) -> frozenset[str] | None:
        """Returns the services of a subscription, or None if it is not known."""
        found = self._known.get(subscription)
        if found is not None:
            self._known.move_to_end(subscription)
        return found

    def add_part(self, source: Address, message: Subscribe) -> None:
        """Adds one part of a subscription, which is known once all parts have been received."""
        if not 0 <= message.part < message.parts <= MAX_SERVICES:
            return
        parts = self._partial.setdefault((source, message.subscription), {})
        parts[message.part] = message.services
        if len(parts) == message.parts:
            del self._partial[source, message.subscription]
            self._add(message.subscription, frozenset().union(*parts.values()))
        while len(self._partial) > MAX_PARTIAL_SUBSCRIPTIONS:
            self._partial.popitem(last=False)

    def _add(self, subscription: int, services: frozenset[str]) -> None:
        if subscription_digest(services) != subscription or len(services) > MAX_SERVICES:
            return
        self._known[subscription] = services
        while len(self._known) > MAX_SUBSCRIPTIONS:
            self._known.popitem(last=False)


class PollServer:
    """Answers the polls that one replica receives."""

    def __init__(self, log: Log, pieces: int) -> None:
        """Takes in `pieces` the datagrams with entries that gateways are sent in a second, at most."""
        self._log = log
        self._ns_per_piece = SECOND // pieces
        self._budget_free_at_ns = 0  # when the rate limit admits the next datagram
        self._retry_promised_at_ns = 0  # the latest time at which a rejected gateway may retry
        self.subscriptions = Subscriptions()

    def replace_log(self, log: Log) -> None:
        """Answers from another log from now on."""
        self._log = log

    def answer(self, now: int, poll: Poll, in_touch_at_ns: int, bounded: bool = True) -> list[MessageBody]:
        """Returns the answer to a poll.

        `in_touch_at_ns` is the time at which this replica last had everything that its leader had committed;
        `bounded` says whether the rate limit of datagrams applies to the sender.
        """
        log = self._log
        if poll.version > log.committed:
            return [Rejected(poll.number, 0)]
        wanted = self._service_filter(poll.subscription)
        if wanted is None:
            return [NeedSubscription(poll.number)]
        busy = bounded and self._budget_free_at_ns > now + MAX_PIECES * self._ns_per_piece
        if poll.cursor is not None:
            if busy:
                return [Rejected(poll.number, self._retry_after_ms(now))]
            return self._pieces(now, poll, poll.cursor, wanted)
        answer = self._delta(poll, wanted, (now - in_touch_at_ns) // MILLISECOND)
        if busy and not (isinstance(answer, Delta) and not answer.has_more):
            return [Rejected(poll.number, self._retry_after_ms(now))]
        if isinstance(answer, Delta) and answer.entries:
            self._spend(now, poll, 1)
        return [answer]

    def _spend(self, now: int, poll: Poll, datagrams: int) -> None:
        """Counts datagrams against the rate limit; those to replicas that pull a snapshot are exempt."""
        if poll.subscription != ALL_SERVICES:
            self._budget_free_at_ns = max(self._budget_free_at_ns, now) + datagrams * self._ns_per_piece

    def _service_filter(self, subscription: int) -> Callable[[str], bool] | None:
        if subscription == ALL_SERVICES:
            return lambda service: True
        services = self.subscriptions.find(subscription)
        return services.__contains__ if services is not None else None

    def _delta(self, poll: Poll, wanted: Callable[[str], bool], age_ms: int) -> Delta | NeedSnapshot:
        log = self._log
        if poll.version == log.committed:
            return Delta(poll.number, log.committed, age_ms, (), False)
        entries = log.committed_after(poll.version) if log.holds(poll.version) else None
        if entries is None:
            return NeedSnapshot(poll.number)
        fitting = list[Entry]()
        size = 0
        complete = poll.version
        for entry in entries:
            if entry.service and wanted(entry.service):
                size += entry.size
                if fitting and size > MAX_ENTRIES_BYTES:
                    return Delta(poll.number, complete, age_ms, tuple(fitting), True)
                fitting.append(entry)
            complete = entry.version
        return Delta(poll.number, complete, age_ms, tuple(fitting), False)

    def _pieces(
        self,
        now: int,
        poll: Poll,
        cursor: Cursor,
        wanted: Callable[[str], bool],
    ) -> list[MessageBody]:
        max_pieces = MAX_PIECES_ALL_SERVICES if poll.subscription == ALL_SERVICES else MAX_PIECES
        found, end = list[tuple[Entry, ...]](), False
        while not end and len(found) < max_pieces:
            entries, end = self._log.next_piece(cursor, wanted)
            found.append(entries)
            if entries:
                cursor = Cursor(entries[-1].service, entries[-1].key)
        self._spend(now, poll, len(found))
        return [
            SnapshotPiece(poll.number, part, len(found), self._log.committed, entries, end)
            for part, entries in enumerate(found)
        ]

    def _retry_after_ms(self, now: int) -> int:
        """Returns the time to retry after: each rejected gateway gets a later one than the gateway before."""
        latest = now + MAX_RETRY_AFTER_MS * MILLISECOND
        self._retry_promised_at_ns = min(
            latest, max(self._retry_promised_at_ns, self._budget_free_at_ns) + MAX_PIECES * self._ns_per_piece
        )
        return max(MIN_RETRY_AFTER_MS, (self._retry_promised_at_ns - now) // MILLISECOND)
