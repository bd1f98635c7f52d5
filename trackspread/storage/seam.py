"""What state that outlives a process needs of a disk: a handful of calls, each of which may fail.

May know: bytes and names. May not know: what they mean, threads, loops. The real thing is `directory.py`;
`virtual/usage/disk.py` is one that forgets, tears and fills up. Every call but `Area.write` may block and
belongs off the loop; every call may raise `OSError`.
"""

from __future__ import annotations

from typing import Protocol


class Area(Protocol):
    """One file of a fixed size, written in place. What is written survives the process at once, and the
    machine once `sync` has returned."""

    def write(self, at: int, data: bytes) -> None:
        """Never blocks on the disk and never fails: the room was allocated when the file was made."""

    def read(self, at: int = 0, size: int | None = None) -> bytes:
        """The file as it is now, from `at`; to its end where no size is given."""

    def sync(self) -> None:
        """All that was written before the call is on the disk when it returns. One that raises has
        promised nothing about any of it, nor will a second call: the system forgets what it failed on."""

    def close(self) -> None: ...


class Files(Protocol):
    """One folder, owned by one process."""

    def names(self) -> list[str]: ...

    def create(self, name: str, size: int) -> Area:
        """A new file of zeros with all its room allocated, whose name is on the disk too."""

    def open(self, name: str) -> Area: ...

    def load(self, name: str) -> bytes | None:
        """What `replace` left; None where there is no such file."""

    def replace(self, name: str, data: bytes) -> None:
        """All of `data` or all of what was there before, whatever happens; on the disk when it returns. One
        that raises may have done either."""

    def remove(self, name: str) -> None:
        """Gone, or gone already."""
