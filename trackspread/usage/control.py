"""Defines the checkpoint of a usage folder: its streams, their watermarks, and the batch in progress.

The checkpoint is written to two areas in turn, so that a torn write leaves the other area intact; the newest
valid copy counts. Where a field has another name here, the stored JSON key is given.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..storage.document import DocumentError, Schema

AREAS = ("control-a", "control-b")
AREA_SIZE = 65_536  # bytes of one area, over three times what `MAX_STREAMS` streams take
MAX_STREAMS = 128  # limit of streams that are not exported yet; each start of a process adds one
SCHEMA = Schema("use-control", 1)


class Part(msgspec.Struct, frozen=True):
    """Says that the stream is exported under the name `id` from slot `first` on."""

    first: int
    id: str


class Names(msgspec.Struct, frozen=True):
    """Holds the gateway that wrote a stream and the names of the classes and plans that its records index."""

    gateway: str
    classes: tuple[str, ...]
    plans: tuple[str, ...]


class PartBounds(NamedTuple):
    """Holds a part of a stream and its last slot, which is None while the part has no end."""

    part: Part
    last: int | None


class Stream(msgspec.Struct):
    """Describes the stream of records of one incarnation of the process.

    `names` is an index into `Checkpoint.names`. `length` is the last slot, or None while the stream is
    written. `acked` is the watermark, which is the last slot that billing has acknowledged. `first_segment`
    is the index of the first segment on the disk. `sealed` says that billing has acknowledged the length.
    """

    nonce: str
    slots: int
    names: int
    parts: list[Part]
    length: int | None = None
    acked: int = 0
    first_segment: int = msgspec.field(default=0, name="kept")
    sealed: bool = False

    def part(self, sequence: int) -> PartBounds:
        """Returns the part that a slot belongs to."""
        index = max(i for i, part in enumerate(self.parts) if part.first <= sequence)
        is_last = index + 1 == len(self.parts)
        return PartBounds(self.parts[index], self.length if is_last else self.parts[index + 1].first - 1)

    def last_slot(self, index: int) -> int:
        """Returns the last slot of a segment, or the stream's last slot if that comes first."""
        last = (index + 1) * self.slots
        return last if self.length is None else min(last, self.length)

    def is_exported(self) -> bool:
        """Returns whether billing has acknowledged all records and the length."""
        return self.length is not None and self.sealed and self.acked >= self.length


class Intent(msgspec.Struct, frozen=True):
    """Describes a batch that may have been sent and is sent again with the same bytes until billing replies.

    `length` is the one in the batch, even if the stream has ended since.
    """

    epoch: int
    first: int
    last: int
    length: int | None
    digest: str


class Checkpoint(msgspec.Struct):
    """Holds the checkpoint.

    `producer` identifies the folder. `generation` counts the writes of the checkpoint. `epoch` is the highest
    epoch of a stream, `streams` are by epoch. `month_start_ms` is the start of the newest month that has
    begun. `lost` counts records that were removed before they were exported, by reason.
    """

    producer: str
    generation: int = 0
    epoch: int = 0
    month_start_ms: int = msgspec.field(default=0, name="month")
    names: list[Names] = []
    streams: dict[int, Stream] = {}
    intent: Intent | None = None
    lost: dict[str, int] = {}

    def names_index(self, names: Names) -> int:
        """Returns the index of `names`, which are added if missing; names without a stream are removed."""
        used = sorted({stream.names for stream in self.streams.values()})
        new_index = {old: new for new, old in enumerate(used)}
        self.names = [self.names[old] for old in used]
        for stream in self.streams.values():
            stream.names = new_index[stream.names]
        if names not in self.names:
            self.names.append(names)
        return self.names.index(names)


class NewestCopy(NamedTuple):
    """Holds the newest valid copy of the checkpoint and the index of its area in `AREAS`.

    `errors` has a line for each invalid copy. `newer` says that a newer version of the program wrote one of
    the copies, so that nothing may be changed.
    """

    checkpoint: Checkpoint | None
    area: int
    errors: list[str]
    newer: bool


def pack(checkpoint: Checkpoint) -> bytes:
    """Returns the bytes of the stored document."""
    return SCHEMA.pack(checkpoint)


def newest(copies: list[bytes]) -> NewestCopy:
    """Returns the newest valid copy; the copies are in the order of `AREAS`.

    Without any copy the folder is new, which is no error.
    """
    best: Checkpoint | None = None
    area, errors, newer = 0, list[str](), False
    for index, data in enumerate(copies):
        if not data.strip(b"\0"):
            continue
        try:
            checkpoint = SCHEMA.unpack(data, Checkpoint)
        except DocumentError as error:
            errors.append(f"{AREAS[index]}: {error}")
            newer |= error.newer
            continue
        if best is None or checkpoint.generation > best.generation:
            best, area = checkpoint, index
    return NewestCopy(best, area, errors, newer)
