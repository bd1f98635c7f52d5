"""A billing system that takes each batch of usage records once: its rules, and a store in memory.

Written from what the export promises to a receiver, not from its code; without HTTP.

- A stream's places are taken in order, without a gap, each at most once.
- The first batch that states a stream's length seals it. A sealed stream takes nothing beyond its seal:
  whoever writes there was replaced. Up to the seal the same places hold the same records, whoever sends them.
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
    """What billing has of one stream: the last place taken, and the last place of a sealed stream."""

    taken: int
    sealed: int | None


@dataclass(frozen=True, slots=True)
class AcceptedBatch:
    """What a batch changes: its stream's state afterwards, and the rows that are new.

    `key`: the batch's idempotency key; `digest`: of all its rows. `holes`: places without a record.
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
    """Where billing keeps what it has taken."""

    def stream_state(self, stream: str) -> StreamState | None:
        """The state of a stream; None for an unknown one."""
        ...

    def digest(self, key: str) -> str | None:
        """The digest of the batch that was taken under an idempotency key."""
        ...

    def commit(self, batch: AcceptedBatch) -> None:
        """Keeps all that a batch changes, or nothing."""
        ...


class Decision(NamedTuple):
    """The reply to a batch, and what has to be committed before it is given."""

    reply: Reply
    accepted: AcceptedBatch | None = None


def decide(state: StreamState | None, known_digest: str | None, batch: Batch) -> Decision:
    """Decides on a batch. `state`: of its stream; `known_digest`: of what was taken under its key."""
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
    """A store in memory, for virtual time."""

    def __init__(self) -> None:
        self.streams: dict[str, StreamState] = {}
        self.digests: dict[str, str] = {}
        self.rows: list[Row] = []
        self.holes = 0

    def stream_state(self, stream: str) -> StreamState | None:
        """The state of a stream; None for an unknown one."""
        return self.streams.get(stream)

    def digest(self, key: str) -> str | None:
        """The digest of the batch that was taken under an idempotency key."""
        return self.digests.get(key)

    def commit(self, batch: AcceptedBatch) -> None:
        """Keeps all that a batch changes."""
        self.streams[batch.stream] = batch.state
        self.digests[batch.key] = batch.digest
        self.rows += batch.rows
        self.holes += batch.holes

    def copy(self) -> MemoryStore:
        """A backup."""
        other = MemoryStore()
        other.streams = dict(self.streams)
        other.digests = dict(self.digests)
        other.rows = list(self.rows)
        other.holes = self.holes
        return other


class Billing:
    """Takes batches; `reply_counts` has how many were "taken", "again", "fenced", and in "conflict"."""

    def __init__(self, store: BillingStore) -> None:
        self.store = store
        self.reply_counts: Counter[str] = Counter()

    def post(self, body: bytes) -> Reply:
        """Takes a batch and replies to it. Raises `msgspec.DecodeError` on what is no batch."""
        batch = decode(body)
        known_digest = self.store.digest(batch.key)
        reply, accepted = decide(self.store.stream_state(batch.stream), known_digest, batch)
        if accepted is not None:
            self.store.commit(accepted)
        self.reply_counts["taken" if accepted else "fenced" if reply.fenced else "again"] += 1
        self.reply_counts["conflict"] += reply.conflict
        return reply
