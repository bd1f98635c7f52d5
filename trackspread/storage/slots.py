"""Layout of a journal's segment: a head, then slots of one size, each with a check of its own.

May know: bytes. May not know: files, what a payload means.

- A slot's check hangs on its stream and its place: nothing that was written elsewhere, or by a former life,
  can pass for it.
- A slot that does not check says nothing about those behind it: each stands for itself.
- Zeros are a slot that was never written; a payload begins with a byte that is not zero.
- Marks take slots too. A mark says how far the stream was on the disk before the mark was written: a bad slot
  up to there is damage, one behind the last mark may be torn.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

import xxhash

PAYLOAD = 40  # bytes
SLOT = PAYLOAD + 4
MARK = 0xFF  # first byte of a mark's payload; those of others are 1 to 254
MAGIC, LAYOUT = b"TSJL", 1
_HEAD, _HEAD_CHECK = struct.Struct("<4sHHIIQ16s"), struct.Struct("<Q")
HEAD = 48  # bytes, `_HEAD` with its check
_CHECK, _MARK = struct.Struct("<I"), struct.Struct("<B7xQ24x")
_NOTHING = bytes(SLOT)
_SPREAD = 0x9E3779B1  # odd: neighbours' seeds differ in many bits


class SegmentError(ValueError):
    """A head that can't be read; `newer` where a newer program wrote it."""

    def __init__(self, text: str, newer: bool = False) -> None:
        super().__init__(text)
        self.newer = newer


@dataclass(frozen=True, slots=True)
class Head:
    """Which part of which stream a segment holds: slots `first` to `first + slots - 1`, from 1."""

    epoch: int
    index: int
    slots: int
    nonce: bytes

    @property
    def first(self) -> int:
        return self.index * self.slots + 1

    @property
    def last(self) -> int:
        return self.first + self.slots - 1

    @property
    def size(self) -> int:
        return HEAD + self.slots * SLOT


def pack_head(head: Head) -> bytes:
    body = _HEAD.pack(MAGIC, LAYOUT, SLOT, head.epoch, head.index, head.slots, head.nonce)
    return body + _HEAD_CHECK.pack(xxhash.xxh3_64_intdigest(body))


def unpack_head(data: bytes) -> Head:
    if len(data) < HEAD or data[:4] != MAGIC:
        raise SegmentError("not a segment")
    body = data[: _HEAD.size]
    _, layout, slot, epoch, index, slots, nonce = _HEAD.unpack(body)
    if _HEAD_CHECK.unpack_from(data, _HEAD.size)[0] != xxhash.xxh3_64_intdigest(body):
        raise SegmentError("the head's checksum does not fit")
    if layout > LAYOUT:
        raise SegmentError(f"found layout {layout}, which a newer program wrote, wanted {LAYOUT}", True)
    if slot != SLOT or len(data) < HEAD + slots * SLOT:
        raise SegmentError("the segment is shorter than its head says")
    return Head(epoch, index, slots, nonce)


def seed_of(nonce: bytes) -> int:
    return xxhash.xxh32_intdigest(nonce)


def pack_slot(payload: bytes, seed: int, sequence: int) -> bytes:
    return payload + _CHECK.pack(xxhash.xxh32_intdigest(payload, seed ^ (sequence * _SPREAD & 0xFFFFFFFF)))


def pack_mark(upto: int) -> bytes:
    return _MARK.pack(MARK, upto)


@dataclass(slots=True)
class Scan:
    """What a run of slots holds. `bad`: places that were written and don't check; which of them are damage
    and which merely torn, the marks say."""

    payloads: dict[int, bytes] = field(default_factory=dict)  # by place, marks left out
    bad: list[int] = field(default_factory=list)
    last: int = 0  # the last place that was written, whether it checks or not; 0 for none
    marked: int = 0  # by the last mark


def scan(data: bytes, head: Head, first: int) -> Scan:
    """The slots in `data`, which begins with that of place `first`; every slot by itself."""
    found, seed = Scan(), seed_of(head.nonce)
    for at in range(0, len(data) - SLOT + 1, SLOT):
        slot, sequence = data[at : at + SLOT], first + at // SLOT
        if slot == _NOTHING:
            continue
        payload = slot[:PAYLOAD]
        if pack_slot(payload, seed, sequence) != slot:
            found.bad.append(sequence)
        elif payload[0] == MARK:
            found.marked = max(found.marked, _MARK.unpack(payload)[1])
        else:
            found.payloads[sequence] = payload
        found.last = sequence
    return found


def written(data: bytes) -> int:
    """How many slots of a segment reach up to the last one that was ever written; `data` without its head."""
    return -(-len(data.rstrip(b"\0")) // SLOT)


def place(head: Head, sequence: int) -> int:
    """Where in its segment a slot begins, in bytes."""
    return HEAD + (sequence - head.first) * SLOT
