"""What one member believed and when, a line each, for whoever looks at it afterwards.

A line is written with one call to the end of a file, so that lines of several processes under one name do not
mix and a killed one leaves whole lines. Stamps are of the machine's monotonic clock, the same for all its
processes. May know: what came to be. May not know: what it means.
"""

from __future__ import annotations

import logging
import os
import time
from pathlib import Path

import msgspec

log = logging.getLogger(__name__)

BYTES_MOST = 64 << 20  # of one process: a day of a calm fleet; what is beyond is not recorded, and told once


class Line(msgspec.Struct, frozen=True):
    """`at`: ns, monotonic; `kind`, `about`: as the core told it."""

    at: int
    name: str
    born: int
    kind: str
    about: dict[str, object] = {}


class Recorder:
    """Appends lines; a disk that fails ends the recording, never the gateway."""

    def __init__(self, path: Path, name: str, born: int) -> None:
        """Raises `OSError`."""
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self._name, self._born, self._left = name, born, BYTES_MOST
        self._encode = msgspec.json.Encoder().encode

    def write(self, kind: str, about: dict[str, object]) -> None:
        if self._left <= 0:
            return
        line = self._encode(Line(time.monotonic_ns(), self._name, self._born, kind, about)) + b"\n"
        self._left -= len(line)
        try:
            os.write(self._file, line)
            why = "it is full"
        except OSError as error:
            self._left, why = 0, str(error.strerror)
        if self._left <= 0:
            log.warning("the view's record ends here: %s", why)

    def close(self) -> None:
        os.close(self._file)
