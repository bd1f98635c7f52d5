"""What a gateway knows of its journal from one life to the next: streams, how far each is exported, the batch
that is under way.

May know: its own layout. May not know: disks, when it is saved. Two areas are written in turn, the older one
each time, so one torn write leaves the other; whoever reads takes the newest that checks.
"""

from __future__ import annotations

import msgspec

from ..storage.document import DocumentError, Schema

AREAS = ("control-a", "control-b")
AREA_SIZE = 65_536  # bytes each: over three times what the streams below take, names of classes included
STREAMS_MOST = 128  # lives whose records are not all exported; each start adds one
SCHEMA = Schema("use-control", 1)


class Part(msgspec.Struct, frozen=True):
    """From place `first` on the stream is exported under the name `id`."""

    first: int
    id: str


class Names(msgspec.Struct, frozen=True):
    """Whose a stream's records are, and what their numbers stand for."""

    gateway: str
    classes: tuple[str, ...]
    plans: tuple[str, ...]


class Stream(msgspec.Struct):
    """One life's records. `length`: its last place, None while it is written. `acked`: up to where billing
    has told that it has them. `kept`: index of the first segment that is still here. `sealed`: billing knows
    the length."""

    nonce: str
    slots: int
    names: int
    parts: list[Part]
    length: int | None = None
    acked: int = 0
    kept: int = 0
    sealed: bool = False

    def part(self, sequence: int) -> tuple[Part, int | None]:
        """The part that a place belongs to, and its last place, None where it has no end yet."""
        at = max(i for i, part in enumerate(self.parts) if part.first <= sequence)
        end = self.parts[at + 1].first - 1 if at + 1 < len(self.parts) else self.length
        return self.parts[at], end

    def over(self) -> bool:
        """Nothing of it is left to be told."""
        return self.length is not None and self.sealed and self.acked >= self.length


class Intent(msgspec.Struct, frozen=True):
    """A batch that may have been sent: the same bytes go again until it is answered. `length`: as it was
    told, also where the stream has ended since."""

    epoch: int
    first: int
    last: int
    length: int | None
    digest: str


class Control(msgspec.Struct):
    """The whole. `month`: start of the newest month begun, Unix ms. `lost`: records that were counted and
    then given up, by reason."""

    producer: str
    generation: int = 0
    epoch: int = 0
    month: int = 0
    names: list[Names] = []
    streams: dict[int, Stream] = {}
    intent: Intent | None = None
    lost: dict[str, int] = {}

    def names_of(self, names: Names) -> int:
        """Where `names` stand, added if need be; those that no stream uses any more go."""
        used = sorted({stream.names for stream in self.streams.values()})
        moved = {old: new for new, old in enumerate(used)}
        self.names = [self.names[old] for old in used]
        for stream in self.streams.values():
            stream.names = moved[stream.names]
        if names not in self.names:
            self.names.append(names)
        return self.names.index(names)


def pack(control: Control) -> bytes:
    """The document's bytes."""
    return SCHEMA.pack(control)


def newest(copies: list[bytes]) -> tuple[Control | None, int, list[str], bool]:
    """The newest copy that checks, where it lies, what is wrong with the others, and whether a newer program
    wrote one: nothing may be changed then. No copy at all is no error: the folder is new."""
    best: Control | None = None
    at, wrong, newer = 0, list[str](), False
    for number, data in enumerate(copies):
        if not data.strip(b"\0"):
            continue
        try:
            control = SCHEMA.unpack(data, Control)
        except DocumentError as error:
            wrong.append(f"{AREAS[number]}: {error}")
            newer |= error.newer
            continue
        if best is None or control.generation > best.generation:
            best, at = control, number
    return best, at, wrong, newer
