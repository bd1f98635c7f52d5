"""A billing system that takes each batch of use records once: its rules, and two memories to keep them by.

May know: batches and replies. May not know: how a gateway makes them, HTTP. Written from what the export
promises to a receiver, not from its code.

- A stream's places are taken in order, without a gap, each at most once.
- The first that tells a stream's length seals it. A sealed stream takes nothing behind its seal: who writes
  there was replaced. Up to the seal the same places hold the same records, whoever sends them.
- Taking a batch and moving the stream's `taken` are one step: both are on the disk, or neither.
"""

from __future__ import annotations

import sqlite3
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

import msgspec

from ...usage.batch import Batch, Reply, Row, decode, digest

DAY_MS = 86_400_000


@dataclass(frozen=True, slots=True)
class Known:
    """What billing remembers of one stream."""

    taken: int
    sealed: int | None


@dataclass(frozen=True, slots=True)
class Taking:
    """What one batch changes."""

    stream: str
    known: Known
    key: str
    digest: str
    producer: str
    name: str
    rows: tuple[Row, ...]
    holes: int


class Memory(Protocol):
    """Where billing keeps what it has; `take` is one transaction."""

    def known(self, stream: str) -> Known | None: ...

    def digest(self, key: str) -> str | None: ...

    def take(self, taking: Taking) -> None: ...


def decide(known: Known | None, before: str | None, batch: Batch) -> tuple[Reply, Taking | None]:
    """The answer to a batch, and what is to be remembered before it is given. `before`: the digest of the
    records that were taken under its key, if some were."""
    told = digest(msgspec.json.encode(batch.rows))
    now = known or Known(batch.base, None)
    conflict = before is not None and before != told
    if now.sealed is not None and max(batch.last, batch.length or 0) > now.sealed:
        return Reply(now.taken, now.sealed, fenced=True), None
    if batch.first > now.taken + 1:
        return Reply(now.taken, now.sealed), None
    sealed = now.sealed
    if sealed is None and batch.length is not None:
        sealed = max(batch.length, now.taken)
    fresh = Known(max(now.taken, batch.last), sealed)
    if fresh == known:
        return Reply(now.taken, now.sealed, conflict=conflict), None
    rows = tuple(row for row in batch.rows if row.sequence > now.taken)
    holes = batch.holes if batch.last > now.taken else 0
    taking = Taking(batch.stream, fresh, batch.key, told, batch.producer, batch.name, rows, holes)
    return Reply(fresh.taken, fresh.sealed, conflict=conflict), taking


class Plain:
    """In memory: for virtual time, where the memory outlives whoever asks."""

    def __init__(self) -> None:
        self.streams: dict[str, Known] = {}
        self.digests: dict[str, str] = {}
        self.rows: list[Row] = []
        self.holes = 0

    def known(self, stream: str) -> Known | None:
        return self.streams.get(stream)

    def digest(self, key: str) -> str | None:
        return self.digests.get(key)

    def take(self, taking: Taking) -> None:
        self.streams[taking.stream] = taking.known
        self.digests[taking.key] = taking.digest
        self.rows += taking.rows
        self.holes += taking.holes

    def copy(self) -> Plain:
        """A backup."""
        other = Plain()
        other.streams = dict(self.streams)
        other.digests = dict(self.digests)
        other.rows = list(self.rows)
        other.holes = self.holes
        return other


class Ledger:
    """In SQLite, each batch a transaction that is on the disk before it is answered."""

    def __init__(self, path: Path) -> None:
        self._db = sqlite3.connect(path, isolation_level=None)
        self._db.executescript("""
            PRAGMA journal_mode = WAL; PRAGMA synchronous = FULL;
            CREATE TABLE IF NOT EXISTS streams (stream TEXT PRIMARY KEY, taken INT, sealed INT, producer TEXT,
                name TEXT);
            CREATE TABLE IF NOT EXISTS batches (key TEXT PRIMARY KEY, digest TEXT, holes INT);
            CREATE TABLE IF NOT EXISTS uses (stream TEXT, place INT, kind INT, ending INT, time INT,
                customer TEXT, cls TEXT, plan TEXT, version INT, requests INT, attempts INT, units TEXT,
                PRIMARY KEY (stream, place)) WITHOUT ROWID;
        """)

    def known(self, stream: str) -> Known | None:
        row = self._db.execute("SELECT taken, sealed FROM streams WHERE stream = ?", (stream,)).fetchone()
        return Known(*row) if row else None

    def digest(self, key: str) -> str | None:
        row = self._db.execute("SELECT digest FROM batches WHERE key = ?", (key,)).fetchone()
        return str(row[0]) if row else None

    def take(self, taking: Taking) -> None:
        known, run = taking.known, self._db.execute
        run("BEGIN IMMEDIATE")
        try:
            run(
                "INSERT OR REPLACE INTO streams VALUES (?, ?, ?, ?, ?)",
                (taking.stream, known.taken, known.sealed, taking.producer, taking.name),
            )
            run("INSERT OR REPLACE INTO batches VALUES (?, ?, ?)", (taking.key, taking.digest, taking.holes))
            self._db.executemany(
                "INSERT INTO uses VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
                [
                    (
                        taking.stream,
                        row.sequence,
                        row.kind,
                        row.ending,
                        row.time,
                        row.customer,
                        row.cls,
                        row.plan,
                        row.version,
                        row.requests,
                        row.attempts,
                        row.units,
                    )
                    for row in taking.rows
                ],
            )
            run("COMMIT")
        except BaseException:
            run("ROLLBACK")
            raise

    def totals(self) -> dict[tuple[str, int, int], tuple[int, int]]:
        """By customer, day since 1970 and ending: requests, and units in billionths."""
        found: dict[tuple[str, int, int], tuple[int, int]] = {}
        for customer, time, ending, requests, units in self._db.execute(
            "SELECT customer, time, ending, requests, units FROM uses"
        ):
            key = customer, time // DAY_MS, ending
            held = found.get(key, (0, 0))
            found[key] = held[0] + requests, held[1] + int(units)
        return found

    def streams(self) -> list[dict[str, object]]:
        """For reconciling: what it has of each stream."""
        rows = self._db.execute("SELECT stream, taken, sealed, producer, name FROM streams")
        return [
            dict(zip(("stream", "taken", "sealed", "producer", "name"), row, strict=True)) for row in rows
        ]

    def close(self) -> None:
        self._db.close()


class Billing:
    """Takes bodies; counts what it was sent again and what it refused."""

    def __init__(self, memory: Memory) -> None:
        self.memory = memory
        self.seen: Counter[str] = Counter()

    def post(self, body: bytes) -> Reply:
        """Raises `msgspec.DecodeError` on what is no batch."""
        batch = decode(body)
        before = self.memory.digest(batch.key)
        reply, taking = decide(self.memory.known(batch.stream), before, batch)
        if taking is not None:
            self.memory.take(taking)
        self.seen["taken" if taking else "fenced" if reply.fenced else "again"] += 1
        self.seen["conflict"] += reply.conflict
        return reply
