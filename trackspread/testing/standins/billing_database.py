"""Stores the billing stand-in's data on disk in SQLite."""

from __future__ import annotations

import sqlite3
from pathlib import Path

from .billing import AcceptedBatch, StreamState

DAY_MS = 86_400_000
STREAM_COLUMNS = ("stream", "taken", "sealed", "producer", "name")

# Requests, and units in billionths, by tenant, day since 1970 and ending.
UsageTotals = dict[tuple[str, int, int], tuple[int, int]]


class BillingDatabase:
    """Implements `BillingStore`; each batch is a transaction that is on the disk before it is answered."""

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

    def stream_state(self, stream: str) -> StreamState | None:
        """Returns the state of a stream, or None if it is unknown."""
        row = self._db.execute("SELECT taken, sealed FROM streams WHERE stream = ?", (stream,)).fetchone()
        return StreamState(*row) if row else None

    def digest(self, key: str) -> str | None:
        """Returns the digest of the batch that was taken under an idempotency key, or None."""
        row = self._db.execute("SELECT digest FROM batches WHERE key = ?", (key,)).fetchone()
        return str(row[0]) if row else None

    def commit(self, batch: AcceptedBatch) -> None:
        """Stores all that a batch changes, or nothing."""
        self._db.execute("BEGIN IMMEDIATE")
        try:
            self._insert(batch)
            self._db.execute("COMMIT")
        except BaseException:
            self._db.execute("ROLLBACK")
            raise

    def _insert(self, batch: AcceptedBatch) -> None:
        state = batch.state
        self._db.execute(
            "INSERT OR REPLACE INTO streams VALUES (?, ?, ?, ?, ?)",
            (batch.stream, state.taken, state.sealed, batch.producer, batch.name),
        )
        self._db.execute(
            "INSERT OR REPLACE INTO batches VALUES (?, ?, ?)", (batch.key, batch.digest, batch.holes)
        )
        self._db.executemany(
            "INSERT INTO uses VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            [
                (
                    batch.stream,
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
                for row in batch.rows
            ],
        )

    def totals(self) -> UsageTotals:
        """Returns the sums over all records taken."""
        totals: UsageTotals = {}
        for tenant, time_ms, ending, requests, units in self._db.execute(
            "SELECT customer, time, ending, requests, units FROM uses"
        ):
            key = tenant, time_ms // DAY_MS, ending
            known_requests, known_units = totals.get(key, (0, 0))
            totals[key] = known_requests + requests, known_units + int(units)
        return totals

    def streams(self) -> list[dict[str, object]]:
        """Returns the stored values of each stream, by `STREAM_COLUMNS`."""
        rows = self._db.execute(f"SELECT {', '.join(STREAM_COLUMNS)} FROM streams")
        return [dict(zip(STREAM_COLUMNS, row, strict=True)) for row in rows]

    def close(self) -> None:
        """Closes the file."""
        self._db.close()
