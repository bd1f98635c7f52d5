"""Stores files in a real folder, with memory mapping, atomic replacement and one owner process by `flock`."""

from __future__ import annotations

import errno
import fcntl
import mmap
import os
import tempfile
from contextlib import suppress
from pathlib import Path

LOCK_NAME = "owner.lock"  # file that is locked while the process runs
TEMPORARY_SUFFIX = ".new"  # suffix of files that `replace` has not finished
OWNER_ONLY_FOLDER = 0o700
OWNER_ONLY_FILE = 0o600


class MappedFile:
    """Holds an allocated file that is mapped into memory.

    Writes go to the page cache and survive the process.
    """

    def __init__(self, descriptor: int, size: int) -> None:
        self._descriptor = descriptor
        self._map = mmap.mmap(descriptor, size)

    def write(self, at: int, data: bytes) -> None:
        """Writes `data` from byte `at` on."""
        self._map[at : at + len(data)] = data

    def read(self, at: int = 0, size: int | None = None) -> bytes:
        """Returns `size` bytes from byte `at` on, or all up to the end."""
        return self._map[at:] if size is None else self._map[at : at + size]

    def sync(self) -> None:
        """Forces all earlier writes to the disk, without blocking other threads; raises `OSError`."""
        # This covers pages changed through the map; the size never changes, so metadata need not be synced.
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        """Unmaps and closes the file."""
        self._map.close()
        os.close(self._descriptor)


class ReadOnlyFile:
    """Holds the content of a file that was read once, for inspecting a folder without write access."""

    def __init__(self, path: Path) -> None:
        self._data = path.read_bytes()

    def write(self, at: int, data: bytes) -> None:
        """Raises `OSError` in any case."""
        raise OSError(errno.EROFS, "the folder is open for reading only")

    def read(self, at: int = 0, size: int | None = None) -> bytes:
        """Returns `size` bytes from byte `at` on, or all up to the end."""
        return self._data[at:] if size is None else self._data[at : at + size]

    def sync(self) -> None:
        """Does nothing."""

    def close(self) -> None:
        """Does nothing."""


class Directory:
    """Implements `Files` on a real folder.

    With `view` nothing is locked, created or written, so that a folder in use can be inspected. Raises
    `OSError`, with EWOULDBLOCK if another process owns the folder.
    """

    def __init__(self, path: Path, view: bool = False) -> None:
        self.path = path
        self._view = view
        self._lock = -1
        if not view:
            self._lock_folder()
            self._remove_unfinished()

    def _lock_folder(self) -> None:
        self.path.mkdir(mode=OWNER_ONLY_FOLDER, parents=True, exist_ok=True)
        self._lock = os.open(self.path / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, OWNER_ONLY_FILE)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise

    def _remove_unfinished(self) -> None:
        for name in self.names():
            if name.endswith(TEMPORARY_SUFFIX):
                self.remove(name)

    def names(self) -> list[str]:
        """Returns the names of all files but the lock, sorted."""
        return sorted(file.name for file in self.path.iterdir() if file.name != LOCK_NAME)

    def create(self, name: str, size: int) -> MappedFile:
        """Creates a file of `size` zero bytes with its space allocated; leaves none behind on an error."""
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        descriptor = os.open(self.path / name, flags, OWNER_ONLY_FILE)
        try:
            os.posix_fallocate(descriptor, 0, size)
            os.fsync(descriptor)
            self._sync_folder()
            return MappedFile(descriptor, size)
        except BaseException:
            os.close(descriptor)
            with suppress(OSError):  # removing the file frees what was allocated before the disk was full
                os.unlink(self.path / name)
            raise

    def open(self, name: str) -> MappedFile | ReadOnlyFile:
        """Opens an existing file."""
        if self._view:
            return ReadOnlyFile(self.path / name)
        descriptor = os.open(self.path / name, os.O_RDWR | os.O_CLOEXEC)
        try:
            return MappedFile(descriptor, os.fstat(descriptor).st_size)
        except (OSError, ValueError):  # an empty file can't be mapped
            os.close(descriptor)
            raise OSError(errno.EIO, "the file can't be mapped into memory", name) from None

    def load(self, name: str) -> bytes | None:
        """Returns the content of a file, or None if it does not exist."""
        try:
            return (self.path / name).read_bytes()
        except FileNotFoundError:
            return None

    def replace(self, name: str, data: bytes) -> None:
        """Atomically replaces a file's content and forces it to the disk."""
        temporary = self.path / (name + TEMPORARY_SUFFIX)
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, OWNER_ONLY_FILE)
        try:
            with memoryview(data) as view:
                written = 0
                while written < len(view):
                    written += os.write(descriptor, view[written:])
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(temporary, self.path / name)
        self._sync_folder()

    def remove(self, name: str) -> None:
        """Deletes a file; one that does not exist is ignored."""
        with suppress(FileNotFoundError):
            os.unlink(self.path / name)

    def _sync_folder(self) -> None:
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Releases the lock on the folder."""
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1


def write_atomically(folder: Path, name: str, data: bytes) -> None:
    """Writes a file atomically and syncs it; replaces a file of this name. Raises `OSError`."""
    folder.mkdir(parents=True, exist_ok=True)
    descriptor, temporary = tempfile.mkstemp(prefix=".", dir=folder)
    try:
        with os.fdopen(descriptor, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(descriptor)
        os.replace(temporary, folder / name)
    except BaseException:
        os.unlink(temporary)
        raise
