"""The real folder: allocated files mapped into memory, atomic replacement, one owner by `flock`.

May know: the operating system's files. May not know: what is in them.
"""

from __future__ import annotations

import errno
import fcntl
import mmap
import os
from contextlib import suppress
from pathlib import Path

LOCK = "owner.lock"  # held for as long as the process lives
TEMPORARY = ".new"  # ending of what `replace` has not finished


class Mapped:
    """An allocated file in memory. A write is a copy into the page cache, which outlives the process."""

    def __init__(self, descriptor: int, size: int) -> None:
        self._descriptor = descriptor
        self._map = mmap.mmap(descriptor, size)

    def write(self, at: int, data: bytes) -> None:
        self._map[at : at + len(data)] = data

    def read(self, at: int = 0, size: int | None = None) -> bytes:
        return self._map[at:] if size is None else self._map[at : at + size]

    def sync(self) -> None:
        # Also writes back pages that were changed through the map, and lets other threads run meanwhile. The
        # size does not change after `create`, so the data alone needs to go.
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        self._map.close()
        os.close(self._descriptor)


class Viewed:
    """A file that is only read: a folder that may not be written is still told about."""

    def __init__(self, path: Path) -> None:
        self._data = path.read_bytes()

    def write(self, at: int, data: bytes) -> None:
        raise OSError(errno.EROFS, "only read")

    def read(self, at: int = 0, size: int | None = None) -> bytes:
        return self._data[at:] if size is None else self._data[at : at + size]

    def sync(self) -> None: ...

    def close(self) -> None: ...


class Directory:
    """`Files` on a real folder. Raises `OSError`: EWOULDBLOCK where another process owns it."""

    def __init__(self, path: Path, view: bool = False) -> None:
        """`view`: nothing is locked, made or written, for looking at a folder that may be in use."""
        self.path = path
        self._view = view
        self._lock = -1
        if not view:
            path.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._lock = os.open(path / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(self._lock)
                raise
            for name in self.names():
                if name.endswith(TEMPORARY):
                    self.remove(name)

    def names(self) -> list[str]:
        return sorted(p.name for p in self.path.iterdir() if p.name != LOCK)

    def create(self, name: str, size: int) -> Mapped:
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        descriptor = os.open(self.path / name, flags, 0o600)
        try:
            os.posix_fallocate(descriptor, 0, size)
            os.fsync(descriptor)
            self._sync_names()
            return Mapped(descriptor, size)
        except BaseException:
            os.close(descriptor)
            with suppress(OSError):  # half of the room of a full disk is given back
                os.unlink(self.path / name)
            raise

    def open(self, name: str) -> Mapped | Viewed:
        if self._view:
            return Viewed(self.path / name)
        descriptor = os.open(self.path / name, os.O_RDWR | os.O_CLOEXEC)
        try:
            return Mapped(descriptor, os.fstat(descriptor).st_size)
        except (OSError, ValueError):  # an empty file can't be mapped
            os.close(descriptor)
            raise OSError(errno.EIO, "cannot be mapped", name) from None

    def load(self, name: str) -> bytes | None:
        try:
            return (self.path / name).read_bytes()
        except FileNotFoundError:
            return None

    def replace(self, name: str, data: bytes) -> None:
        fresh = self.path / (name + TEMPORARY)
        descriptor = os.open(fresh, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            with memoryview(data) as rest:
                at = 0
                while at < len(rest):
                    at += os.write(descriptor, rest[at:])
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(fresh, self.path / name)
        self._sync_names()

    def remove(self, name: str) -> None:
        with suppress(FileNotFoundError):
            os.unlink(self.path / name)

    def _sync_names(self) -> None:
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1
