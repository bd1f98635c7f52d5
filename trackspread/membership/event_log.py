"""Writes a member's events to a file, one JSON line each, for later analysis.

Each line is appended with a single write call, so that lines of several processes under one name do not
interleave and a killed process leaves complete lines. Timestamps are those of the machine's monotonic clock,
which all its processes share.
"""

from __future__ import annotations

import logging
import os
import time
from pathlib import Path

import msgspec

log = logging.getLogger(__name__)

MAX_BYTES = 64 << 20  # limit of one process, enough for a day without faults; further events are dropped


class EventLine(msgspec.Struct, frozen=True):
    """Holds one line, whose keys in the file are `at`, `name`, `born`, `kind` and `about`."""

    at_ns: int = msgspec.field(name="at")  # monotonic clock
    name: str
    created_at_ms: int = msgspec.field(name="born")
    kind: str
    details: dict[str, object] = msgspec.field(name="about", default_factory=dict)


class EventLog:
    """Appends events to the file; a failing disk stops the recording and never the gateway."""

    def __init__(self, path: Path, name: str, created_at_ms: int) -> None:
        """Opens the file for appending.

        Raises `OSError` where the file can't be opened.
        """
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self._name = name
        self._created_at_ms = created_at_ms
        self._remaining_bytes = MAX_BYTES
        self._encode = msgspec.json.Encoder().encode

    def write(self, kind: str, details: dict[str, object]) -> None:
        """Appends an event with the current time."""
        if self._remaining_bytes <= 0:
            return
        event = EventLine(time.monotonic_ns(), self._name, self._created_at_ms, kind, details)
        line = self._encode(event) + b"\n"
        self._remaining_bytes -= len(line)
        reason = f"the size limit of {MAX_BYTES} bytes is reached"
        try:
            os.write(self._file, line)
        except OSError as error:
            self._remaining_bytes = 0
            reason = str(error.strerror)
        if self._remaining_bytes <= 0:
            log.warning("event log: recording of member %s has stopped: %s", self._name, reason)

    def close(self) -> None:
        """Closes the file."""
        os.close(self._file)
