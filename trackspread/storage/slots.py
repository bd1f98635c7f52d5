"""Defines the layout of a journal segment: a header, then slots of one size, each with its own checksum.

- A slot's checksum covers its stream and its sequence number, so a slot of another stream or from another
  position in the file is never accepted.
- Slots are checked independently: a bad slot says nothing about those behind it.
- A slot of zeros was never written; the first byte of a payload is never zero.
- Marks take slots too. A mark states how much of the stream was on the disk before the mark was written: a
  bad slot up to there is damage, and one behind the last mark may be a torn write.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

import xxhash

PAYLOAD_BYTES = 40
SLOT_BYTES = PAYLOAD_BYTES + 4  # includes the checksum
HEADER_BYTES = 48  # includes the checksum
MARK = 0xFF  # first byte of a mark's payload; other payloads begin with 1 to 254
MAGIC = b"TSJL"
LAYOUT = 1
_HEADER = struct.Struct("<4sHHIIQ16s")
_HEADER_CHECKSUM = struct.Struct("<Q")
_SLOT_CHECKSUM = struct.Struct("<I")
_MARK = struct.Struct("<B7xQ24x")
_EMPTY_SLOT = bytes(SLOT_BYTES)
_SEED_MULTIPLIER = 0x9E3779B1  # odd, so that seeds of adjacent slots differ in many bits
_UINT32 = 0xFFFFFFFF


class SegmentError(ValueError):
    """Reports a header that can't be read; `newer` is set if a newer version of the program wrote it."""

    def __init__(self, text: str, newer: bool = False) -> None:
        super().__init__(text)
        self.newer = newer


@dataclass(frozen=True, slots=True)
class SegmentHeader:
    """Identifies a segment by its stream's epoch and its index in the stream.

    `slots` is the number of slots in the segment. `nonce` is random and the same in all segments of the
    stream.
    """

    epoch: int
    index: int
    slots: int
    nonce: bytes

    @property
    def first(self) -> int:
        """Returns the sequence number of the first slot; a stream counts from 1."""
        return self.index * self.slots + 1

    @property
    def last(self) -> int:
        """Returns the sequence number of the last slot."""
        return self.first + self.slots - 1

    @property
    def size(self) -> int:
        """Returns the size of the file in bytes."""
        return HEADER_BYTES + self.slots * SLOT_BYTES


def pack_header(header: SegmentHeader) -> bytes:
    """Encodes a header with its checksum."""
    body = _HEADER.pack(MAGIC, LAYOUT, SLOT_BYTES, header.epoch, header.index, header.slots, header.nonce)
    return body + _HEADER_CHECKSUM.pack(xxhash.xxh3_64_intdigest(body))


def unpack_header(data: bytes) -> SegmentHeader:
    """Decodes the header of a complete segment; raises `SegmentError`."""
    if len(data) < HEADER_BYTES or data[:4] != MAGIC:
        raise SegmentError(f"not a segment: must begin with {MAGIC!r}, in a header of {HEADER_BYTES} bytes")
    body = data[: _HEADER.size]
    _, layout, slot_bytes, epoch, index, slots, nonce = _HEADER.unpack(body)
    if _HEADER_CHECKSUM.unpack_from(data, _HEADER.size)[0] != xxhash.xxh3_64_intdigest(body):
        raise SegmentError("the header's checksum does not match its content")
    if layout > LAYOUT:
        raise SegmentError(
            f"layout: must be at most {LAYOUT}, got {layout}, which a newer version of the program wrote",
            newer=True,
        )
    if slot_bytes != SLOT_BYTES or len(data) < HEADER_BYTES + slots * SLOT_BYTES:
        raise SegmentError(
            f"the header declares {slots} slots of {slot_bytes} bytes (must be {SLOT_BYTES}), "
            f"{HEADER_BYTES + slots * slot_bytes} bytes in all; the file has {len(data)}"
        )
    return SegmentHeader(epoch, index, slots, nonce)


def checksum_seed(nonce: bytes) -> int:
    """Returns the seed of a stream's slot checksums."""
    return xxhash.xxh32_intdigest(nonce)


def pack_slot(payload: bytes, seed: int, sequence: int) -> bytes:
    """Encodes one slot, which is a payload of `PAYLOAD_BYTES` and its checksum for this sequence number."""
    slot_seed = seed ^ (sequence * _SEED_MULTIPLIER & _UINT32)
    return payload + _SLOT_CHECKSUM.pack(xxhash.xxh32_intdigest(payload, slot_seed))


def pack_mark(committed: int) -> bytes:
    """Encodes the payload of a mark, which states that all slots up to `committed` are on the disk."""
    return _MARK.pack(MARK, committed)


@dataclass(slots=True)
class Scan:
    """Holds the content of a range of slots by sequence number.

    `payloads` are those of valid slots other than marks. `bad` are written slots whose checksum is wrong; the
    marks decide which of them are damaged and which are torn. `last` is the last written slot, valid or not,
    and `marked` the highest sequence number that a mark states; both are 0 if there is none.
    """

    payloads: dict[int, bytes] = field(default_factory=dict)
    bad: list[int] = field(default_factory=list)
    last: int = 0
    marked: int = 0


def scan(data: bytes, header: SegmentHeader, first: int) -> Scan:
    """Decodes the slots in `data`; the first of them has sequence number `first`."""
    found = Scan()
    seed = checksum_seed(header.nonce)
    for offset in range(0, len(data) - SLOT_BYTES + 1, SLOT_BYTES):
        slot = data[offset : offset + SLOT_BYTES]
        sequence = first + offset // SLOT_BYTES
        if slot == _EMPTY_SLOT:
            continue
        payload = slot[:PAYLOAD_BYTES]
        if pack_slot(payload, seed, sequence) != slot:
            found.bad.append(sequence)
        elif payload[0] == MARK:
            found.marked = max(found.marked, _MARK.unpack(payload)[1])
        else:
            found.payloads[sequence] = payload
        found.last = sequence
    return found


def count_written_slots(data: bytes) -> int:
    """Returns the number of slots up to the last written one; `data` is a segment without its header."""
    return -(-len(data.rstrip(b"\0")) // SLOT_BYTES)


def slot_offset(header: SegmentHeader, sequence: int) -> int:
    """Returns the offset of slot `sequence` in its segment, in bytes."""
    return HEADER_BYTES + (sequence - header.first) * SLOT_BYTES
