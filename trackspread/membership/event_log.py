"""A file of a member's events, a JSON line each, for analysis afterwards.

A line is written with one call to the end of the file, so that lines of several processes under one name do
not mix and a killed one leaves complete lines. Timestamps are of the machine's monotonic clock, the same for
all its processes.
"""

from __future__ import annotations

import logging
import os
import time
from pathlib import Path

import msgspec

log = logging.getLogger(__name__)

MAX_BYTES = 64 << 20  # of one process: a day of a calm fleet; events beyond it are not recorded


class EventLine(msgspec.Struct, frozen=True):
    """One line; the keys in the file are `at`, `name`, `born`, `kind` and `about`."""

    at_ns: int = msgspec.field(name="at")  # monotonic
    name: str
    created_at_ms: int = msgspec.field(name="born")
    kind: str
    details: dict[str, object] = msgspec.field(name="about", default_factory=dict)


class EventLog:
    """Appends lines; a disk that fails ends the recording, never the gateway."""

    def __init__(self, path: Path, name: str, created_at_ms: int) -> None:
        """Raises `OSError` where the file can't be opened."""
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self._name = name
        self._created_at_ms = created_at_ms
        self._remaining_bytes = MAX_BYTES
        self._encode = msgspec.json.Encoder().encode

    def write(self, kind: str, details: dict[str, object]) -> None:
        """Append an event that happens now."""
        if self._remaining_bytes <= 0:
            return
        event = EventLine(time.monotonic_ns(), self._name, self._created_at_ms, kind, details)
        line = self._encode(event) + b"\n"
        self._remaining_bytes -= len(line)
        reason = "its size limit is reached"
        try:
            os.write(self._file, line)
        except OSError as error:
            self._remaining_bytes = 0
            reason = str(error.strerror)
        if self._remaining_bytes <= 0:
            log.warning("event log of %s: no more events are recorded: %s", self._name, reason)

    def close(self) -> None:
        """Close the file."""
        os.close(self._file)
