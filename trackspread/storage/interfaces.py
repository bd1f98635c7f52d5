"""Defines the interfaces to the disk, which are files of a fixed size and the folder that holds them.

`directory.py` implements them on a real folder; `testing/virtual/usage/disk.py` simulates a disk that loses
and tears writes and that fills up. Every call except `Area.write` may block, so it must not run on the event
loop, and may raise `OSError`.
"""

from __future__ import annotations

from typing import Protocol


class Area(Protocol):
    """Represents one file of a fixed size that is written in place.

    Written data survives the end of the process at once, and a crash of the machine after `sync`.
    """

    def write(self, at: int, data: bytes) -> None:
        """Writes `data` from byte `at` on; never blocks or fails, as the space is already allocated."""

    def read(self, at: int = 0, size: int | None = None) -> bytes:
        """Returns `size` bytes from byte `at` on, or all up to the end of the file."""

    def sync(self) -> None:
        """Forces all earlier writes to the disk.

        After an `OSError` nothing is known about any of these writes. A second call does not help, because
        the operating system marks pages as clean even if writing them failed.
        """

    def close(self) -> None:
        """Releases the file; the area must not be used afterwards."""


class Files(Protocol):
    """Represents one folder, which one process owns."""

    def names(self) -> list[str]:
        """Returns the names of all files but the lock, sorted."""

    def create(self, name: str, size: int) -> Area:
        """Creates a file of `size` zero bytes, with its space allocated and its name on the disk."""

    def open(self, name: str) -> Area:
        """Opens an existing file."""

    def load(self, name: str) -> bytes | None:
        """Returns the content of a file, or None if it does not exist."""

    def replace(self, name: str, data: bytes) -> None:
        """Atomically replaces a file's content and forces it to the disk.

        After an `OSError` the file holds either the old or the new content.
        """

    def remove(self, name: str) -> None:
        """Deletes a file; one that does not exist is ignored."""
