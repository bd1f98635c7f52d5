"""Models a billing system that takes each batch of usage records once, with a store in memory.

The model follows the guarantees that the export gives to a receiver, not its code, and needs no HTTP.

- A stream's places are taken in order, without a gap, each at most once.
- The first batch that states a stream's length seals it. A sealed stream takes no records beyond its seal,
  because a producer that writes there was replaced. Up to the seal the same places hold the same records,
  whichever producer sends them.
- Taking a batch and advancing the stream's `taken` are one step: both are on the disk, or neither.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple, Protocol

import msgspec

from ...usage.batch import Batch, Reply, Row, decode, digest


@dataclass(frozen=True, slots=True)
class StreamState:
    """Holds the last place taken of one stream, and the last place of the stream if it is sealed."""

    taken: int
    sealed: int | None


@dataclass(frozen=True, slots=True)
class AcceptedBatch:
    """Holds what a batch changes: its stream's state afterwards, and the rows that are new.

    `key` is the batch's idempotency key. `digest` is the digest of all its rows. `holes` counts places
    without a record.
    """

    stream: str
    state: StreamState
    key: str
    digest: str
    producer: str
    name: str
    rows: tuple[Row, ...]
    holes: int


class BillingStore(Protocol):
    """Stores what billing has taken."""

    def stream_state(self, stream: str) -> StreamState | None:
        """Returns the state of a stream, or None if it is unknown."""
        ...

    def digest(self, key: str) -> str | None:
        """Returns the digest of the batch that was taken under an idempotency key, or None."""
        ...

    def commit(self, batch: AcceptedBatch) -> None:
        """Stores all that a batch changes, or nothing."""
        ...


class Decision(NamedTuple):
    """Holds the reply to a batch, and what has to be committed before the reply is sent."""

    reply: Reply
    accepted: AcceptedBatch | None = None


def decide(state: StreamState | None, known_digest: str | None, batch: Batch) -> Decision:
    """Decides on a batch from its stream's state and the digest of what was taken under its key."""
    batch_digest = digest(msgspec.json.encode(batch.rows))
    before = state or StreamState(batch.base, None)
    conflict = known_digest is not None and known_digest != batch_digest
    if before.sealed is not None and max(batch.last, batch.length or 0) > before.sealed:
        return Decision(Reply(before.taken, before.sealed, fenced=True))
    if batch.first > before.taken + 1:
        return Decision(Reply(before.taken, before.sealed))
    sealed = before.sealed
    if sealed is None and batch.length is not None:
        sealed = max(batch.length, before.taken)
    after = StreamState(max(before.taken, batch.last), sealed)
    if after == state:
        return Decision(Reply(before.taken, before.sealed, conflict=conflict))
    rows = tuple(row for row in batch.rows if row.sequence > before.taken)
    holes = batch.holes if batch.last > before.taken else 0
    accepted = AcceptedBatch(
        batch.stream, after, batch.key, batch_digest, batch.producer, batch.name, rows, holes
    )
    return Decision(Reply(after.taken, after.sealed, conflict=conflict), accepted)


class MemoryStore:
    """Stores in memory what billing has taken, for virtual time."""

    def __init__(self) -> None:
        self.streams: dict[str, StreamState] = {}
        self.digests: dict[str, str] = {}
        self.rows: list[Row] = []
        self.holes = 0

    def stream_state(self, stream: str) -> StreamState | None:
        """Returns the state of a stream, or None if it is unknown."""
        return self.streams.get(stream)

    def digest(self, key: str) -> str | None:
        """Returns the digest of the batch that was taken under an idempotency key, or None."""
        return self.digests.get(key)

    def commit(self, batch: AcceptedBatch) -> None:
        """Stores all that a batch changes."""
        self.streams[batch.stream] = batch.state
        self.digests[batch.key] = batch.digest
        self.rows += batch.rows
        self.holes += batch.holes

    def copy(self) -> MemoryStore:
        """Returns a backup."""
        other = MemoryStore()
        other.streams = dict(self.streams)
        other.digests = dict(self.digests)
        other.rows = list(self.rows)
        other.holes = self.holes
        return other


class Billing:
    """Takes batches and counts replies in `reply_counts`, by "taken", "again", "fenced" and "conflict"."""

    def __init__(self, store: BillingStore) -> None:
        self.store = store
        self.reply_counts: Counter[str] = Counter()

    def post(self, body: bytes) -> Reply:
        """Takes a batch and replies to it. Raises `msgspec.DecodeError` if the body is not a batch."""
        batch = decode(body)
        known_digest = self.store.digest(batch.key)
        reply, accepted = decide(self.store.stream_state(batch.stream), known_digest, batch)
        if accepted is not None:
            self.store.commit(accepted)
        self.reply_counts["taken" if accepted else "fenced" if reply.fenced else "again"] += 1
        self.reply_counts["conflict"] += reply.conflict
        return reply
