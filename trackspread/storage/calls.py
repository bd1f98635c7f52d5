"""Represents disk operations as values, which decision code creates and a thread or simulated disk performs.

One call is in progress at a time, so calls take effect in the order in which they were created.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .interfaces import Area, Files
from .slots import (
    HEADER_BYTES,
    SLOT_BYTES,
    SegmentHeader,
    Scan,
    SegmentError,
    count_written_slots,
    pack_header,
    scan,
    slot_offset,
    unpack_header,
)


class SegmentId(NamedTuple):
    """Identifies a segment by the epoch of its stream and its number in the stream, from 0."""

    epoch: int
    number: int


@dataclass(frozen=True, slots=True)
class Create:
    """Creates a segment with its header; the result is its `Area`."""

    header: SegmentHeader


@dataclass(frozen=True, slots=True)
class Sync:
    """Forces these segments to the disk; the result is None."""

    areas: tuple[Area, ...]


@dataclass(frozen=True, slots=True)
class Save:
    """Overwrites an area with a document and forces it to the disk; the result is None.

    The write needs no further disk space but may be torn, so callers alternate between two areas.
    """

    area: Area
    data: bytes


@dataclass(frozen=True, slots=True)
class Replace:
    """Atomically replaces a file's content; the result is None."""

    name: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Read:
    """Reads slots `first` to `last` of one segment, through `area` if it is open.

    The result is a `Scan`, or None if the segment no longer exists.
    """

    header: SegmentHeader
    first: int
    last: int
    area: Area | None = None


@dataclass(frozen=True, slots=True)
class Remove:
    """Deletes files; the result is None."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class InspectFolder:
    """Lists what earlier processes left in the folder; the result is a `FolderContents`.

    `documents` names files of `size_bytes`; they are created if missing and stay open.
    """

    documents: tuple[str, ...]
    size_bytes: int


class FoundSegment(NamedTuple):
    """Holds a readable segment's header and its number of written slots."""

    header: SegmentHeader
    written_slots: int


@dataclass(slots=True)
class FolderContents:
    """Holds the result of `InspectFolder`.

    `areas` are the documents, in the order of the call. `broken` has the files that can't be read, with the
    reason, and `written_in_broken` the number of written slots of those whose bytes could be read.
    """

    areas: list[Area] = field(default_factory=list)
    names: list[str] = field(default_factory=list)
    segments: dict[SegmentId, FoundSegment] = field(default_factory=dict)
    written_in_broken: dict[str, int] = field(default_factory=dict)
    broken: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Refresh:
    """Rewrites and syncs what an earlier process may not have synced; the result is None.

    A sync alone is not enough, because after a failed sync the operating system treats the pages as written.
    """

    areas: tuple[Area, ...]
    names: tuple[str, ...]


Call = Create | Sync | Save | Replace | Read | Remove | InspectFolder | Refresh
Result = Area | Scan | FolderContents | None


def segment_name(epoch: int, index: int) -> str:
    """Returns the file name of a segment."""
    return f"use-{epoch:08d}-{index:06d}.log"


def parse_segment_name(name: str) -> SegmentId | None:
    """Returns the segment in a file of this name, or None for any other file."""
    parts = name.removesuffix(".log").split("-")
    if not name.endswith(".log") or len(parts) != 3:
        return None
    epoch, index = parts[1:]
    if not (epoch.isdecimal() and index.isdecimal()):
        return None
    return SegmentId(int(epoch), int(index))


def perform(files: Files, call: Call) -> Result:
    """Performs one call and returns its result; raises `OSError`."""
    match call:
        case Create(header):
            return _create(files, header)
        case Read():
            return _read(files, call)
        case InspectFolder():
            return _inspect(files, call)
    _change(files, call)
    return None


def _change(files: Files, call: Sync | Save | Replace | Remove | Refresh) -> None:
    match call:
        case Sync(areas):
            for area in areas:
                area.sync()
        case Save(area, data):
            area.write(0, data)
            area.sync()
        case Replace(name, data):
            files.replace(name, data)
        case Remove(names):
            for name in names:
                files.remove(name)
        case Refresh():
            _refresh(files, call)


def _create(files: Files, header: SegmentHeader) -> Area:
    area = files.create(segment_name(header.epoch, header.index), header.size)
    area.write(0, pack_header(header))
    area.sync()
    return area


def _refresh(files: Files, call: Refresh) -> None:
    for area in call.areas:
        _rewrite(area)
    for name in call.names:
        area = files.open(name)
        try:
            _rewrite(area)
        finally:
            area.close()


def _rewrite(area: Area) -> None:
    area.write(0, area.read())
    area.sync()


def _read(files: Files, call: Read) -> Scan | None:
    header = call.header
    offset = slot_offset(header, call.first)
    size = (call.last - call.first + 1) * SLOT_BYTES
    if call.area is not None:
        return scan(call.area.read(offset, size), header, call.first)
    try:
        area = files.open(segment_name(header.epoch, header.index))
    except FileNotFoundError:
        return None
    try:
        return scan(area.read(offset, size), header, call.first)
    finally:
        area.close()


def _inspect(files: Files, call: InspectFolder) -> FolderContents:
    found = FolderContents(names=files.names())
    for name in call.documents:
        exists = name in found.names
        found.areas.append(files.open(name) if exists else files.create(name, call.size_bytes))
    for name in found.names:
        if (segment := parse_segment_name(name)) is not None:
            _inspect_segment(files, name, segment, found)
    return found


def _inspect_segment(files: Files, name: str, segment: SegmentId, found: FolderContents) -> None:
    try:
        area = files.open(name)
    except OSError as error:
        found.broken[name] = error.strerror or str(error)
        return
    data = area.read()
    area.close()
    written_slots = count_written_slots(data[HEADER_BYTES:])
    try:
        header = unpack_header(data)
        if (header.epoch, header.index) != segment:
            raise SegmentError(
                f"the header must have epoch {segment.epoch} and index {segment.number}, as the file name, "
                f"got epoch {header.epoch} and index {header.index}"
            )
        found.segments[segment] = FoundSegment(header, written_slots)
    except SegmentError as error:
        found.broken[name] = str(error)
        found.written_in_broken[name] = written_slots
