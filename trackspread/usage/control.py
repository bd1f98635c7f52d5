"""The checkpoint of a usage folder: its streams, how far each is exported, and the batch in progress.

It is written to two areas in turn, so that a torn write leaves the other one; the newest valid copy counts.
The JSON keys are the stored ones, also where a field has another name here.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..storage.document import DocumentError, Schema

AREAS = ("control-a", "control-b")
AREA_SIZE = 65_536  # bytes each; over three times what `MAX_STREAMS` streams take
MAX_STREAMS = 128  # that are not exported yet; each start of a process adds one
SCHEMA = Schema("use-control", 1)


class Part(msgspec.Struct, frozen=True):
    """From slot `first` on the stream is exported under the name `id`."""

    first: int
    id: str


class Names(msgspec.Struct, frozen=True):
    """The gateway that wrote a stream, and the names of the classes and plans that its records index."""

    gateway: str
    classes: tuple[str, ...]
    plans: tuple[str, ...]


class PartBounds(NamedTuple):
    """A part of a stream and its last slot, None while the part has no end."""

    part: Part
    last: int | None


class Stream(msgspec.Struct):
    """The records of one incarnation of the process.

    `names` is an index into `Control.names`. `length` is the last slot, None while the stream is written.
    `acked` is the watermark: the last slot that billing has acknowledged. `first_segment` is the index of the
    first segment on the disk. `sealed`: billing has acknowledged the length.
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
        """The part that a slot belongs to."""
        index = max(i for i, part in enumerate(self.parts) if part.first <= sequence)
        is_last = index + 1 == len(self.parts)
        return PartBounds(self.parts[index], self.length if is_last else self.parts[index + 1].first - 1)

    def last_slot(self, index: int) -> int:
        """The last slot of a segment, which is the stream's last if that comes first."""
        last = (index + 1) * self.slots
        return last if self.length is None else min(last, self.length)

    def is_exported(self) -> bool:
        """Whether billing has acknowledged all records and the length."""
        return self.length is not None and self.sealed and self.acked >= self.length


class Intent(msgspec.Struct, frozen=True):
    """A batch that may have been sent: it is sent again with the same bytes until billing replies.

    `length` is the one in the batch, also if the stream has ended since.
    """

    epoch: int
    first: int
    last: int
    length: int | None
    digest: str


class Control(msgspec.Struct):
    """The checkpoint.

    `producer` names the folder. `generation` counts the writes of the checkpoint. `epoch` is the highest
    number of a stream, `streams` are by epoch. `month_start_ms` is the start of the newest month that was
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
        """The index of `names`, which are added if need be; names without a stream are removed."""
        used = sorted({stream.names for stream in self.streams.values()})
        new_index = {old: new for new, old in enumerate(used)}
        self.names = [self.names[old] for old in used]
        for stream in self.streams.values():
            stream.names = new_index[stream.names]
        if names not in self.names:
            self.names.append(names)
        return self.names.index(names)


class NewestCopy(NamedTuple):
    """The newest valid copy of the checkpoint and its area, by the index in `AREAS`.

    `errors` has a line for each invalid copy. `newer`: a newer version of the program wrote one of them, and
    nothing may be changed.
    """

    control: Control | None
    area: int
    errors: list[str]
    newer: bool


def pack(control: Control) -> bytes:
    """The bytes of the stored document."""
    return SCHEMA.pack(control)


def newest(copies: list[bytes]) -> NewestCopy:
    """The newest valid one of the copies, which are in the order of `AREAS`. Without any copy the folder is
    new, which is no error."""
    best: Control | None = None
    area, errors, newer = 0, list[str](), False
    for index, data in enumerate(copies):
        if not data.strip(b"\0"):
            continue
        try:
            control = SCHEMA.unpack(data, Control)
        except DocumentError as error:
            errors.append(f"{AREAS[index]}: {error}")
            newer |= error.newer
            continue
        if best is None or control.generation > best.generation:
            best, area = control, index
    return NewestCopy(best, area, errors, newer)
