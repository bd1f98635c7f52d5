"""Calls to the disk as values: what decides names them, a thread (or a virtual disk) carries them out.

May know: the seam, the layout of segments. May not know: why a call is made. One call at a time is out, so
their order is that in which they were named.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .seam import Area, Files
from .slots import HEAD, Head, Scan, SegmentError, pack_head, scan, unpack_head, written


@dataclass(frozen=True, slots=True)
class Create:
    """A new segment with its head; gives its `Area`."""

    head: Head


@dataclass(frozen=True, slots=True)
class Sync:
    """What was written to these segments is on the disk; gives None."""

    areas: tuple[Area, ...]


@dataclass(frozen=True, slots=True)
class Save:
    """One document in place of what its area held, and on the disk; gives None. It needs no room on the disk
    beyond what the area has, and may be torn: whoever saves so keeps two areas and writes them in turn."""

    area: Area
    data: bytes


@dataclass(frozen=True, slots=True)
class Replace:
    """A document of its own, whole or not at all; gives None."""

    name: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Read:
    """Slots `first` to `last` of one segment, through `area` where it is open; gives a `Scan`, or None where
    the segment is gone."""

    head: Head
    first: int
    last: int
    area: Area | None = None


@dataclass(frozen=True, slots=True)
class Remove:
    """Files that nobody needs any more; gives None."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Look:
    """The folder as a former life left it; gives a `Found`. `kept`: documents in areas of `size` bytes, which
    are made where they are missing and stay open."""

    kept: tuple[str, ...]
    size: int


@dataclass(slots=True)
class Found:
    """`areas`: of the documents that are kept, in the order asked for. `segments`: by epoch and index, the
    head and how many slots were written. `broken`: files that can't be read, and why."""

    areas: list[Area] = field(default_factory=list)
    names: list[str] = field(default_factory=list)
    segments: dict[tuple[int, int], tuple[Head, int]] = field(default_factory=dict)
    lengths: dict[str, tuple[int, int]] = field(default_factory=dict)  # of those in `broken`: bytes, slots
    broken: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Refresh:
    """What a former life wrote and may never have got to the disk is written once more, and is there then;
    gives None. A sync alone would not do: after one that failed the system takes the rest for written."""

    areas: tuple[Area, ...]
    names: tuple[str, ...]


Call = Create | Sync | Save | Replace | Read | Remove | Look | Refresh
Result = Area | Scan | Found | None


def segment_name(epoch: int, index: int) -> str:
    return f"use-{epoch:08d}-{index:06d}.log"


def segment_of(name: str) -> tuple[int, int] | None:
    """Epoch and index, or None for a file that is no segment."""
    parts = name.removesuffix(".log").split("-")
    if not name.endswith(".log") or len(parts) != 3 or not (parts[1].isdecimal() and parts[2].isdecimal()):
        return None
    return int(parts[1]), int(parts[2])


def perform(files: Files, call: Call) -> Result:
    """Carries one call out; raises `OSError`."""
    match call:
        case Create(head):
            area = files.create(segment_name(head.epoch, head.index), head.size)
            area.write(0, pack_head(head))
            area.sync()
            return area
        case Sync(areas):
            for area in areas:
                area.sync()
        case Save(area, data):
            area.write(0, data)
            area.sync()
        case Replace(name, data):
            files.replace(name, data)
        case Read():
            return _read(files, call)
        case Remove(names):
            for name in names:
                files.remove(name)
        case Refresh(areas, names):
            for area in areas:
                _again(area)
            for name in names:
                own = files.open(name)
                try:
                    _again(own)
                finally:
                    own.close()
        case Look(kept, size):
            return _look(files, kept, size)
    return None


def _again(area: Area) -> None:
    area.write(0, area.read())
    area.sync()


def _read(files: Files, call: Read) -> Scan | None:
    head, area = call.head, call.area
    at, size = HEAD + (call.first - head.first) * _slot(head), (call.last - call.first + 1) * _slot(head)
    if area is not None:
        return scan(area.read(at, size), head, call.first)
    try:
        own = files.open(segment_name(head.epoch, head.index))
    except FileNotFoundError:
        return None
    try:
        return scan(own.read(at, size), head, call.first)
    finally:
        own.close()


def _slot(head: Head) -> int:
    return (head.size - HEAD) // head.slots


def _look(files: Files, kept: tuple[str, ...], size: int) -> Found:
    found = Found(names=files.names())
    for name in kept:
        found.areas.append(files.open(name) if name in found.names else files.create(name, size))
    for name in found.names:
        if (at := segment_of(name)) is None:
            continue
        try:
            area = files.open(name)
        except OSError as error:
            found.broken[name] = error.strerror or str(error)
            continue
        data = area.read()
        area.close()
        try:
            head = unpack_head(data)
            if (head.epoch, head.index) != at:
                raise SegmentError(f"its head says epoch {head.epoch}, part {head.index}")
            found.segments[at] = head, written(data[HEAD:])
        except SegmentError as error:
            found.broken[name] = str(error)
            found.lengths[name] = len(data), written(data[HEAD:])
    return found
