"""Messages between the old process and the new one: packets with a checked head, bodies as msgpack.

May know: layout. May not know: sockets, steps. Nothing is unpickled, and nothing is taken that is longer
than said, of another kind, or whose check fails.
"""

from __future__ import annotations

import struct
import zlib
from enum import IntEnum
from typing import Any, NamedTuple

import msgspec

from .states import PROTOCOL

MAGIC = b"tsho"
_HEAD = struct.Struct("<4sBBxxI")  # magic, protocol, kind, check
PACKET_MOST = 40 << 10  # bytes of one packet
PIECE = 32 << 10  # bytes of what is carried over, in one packet
CARRIED_MOST = 16 << 20  # bytes of all of it: far over any table's bound
REST_MOST = 36 << 10  # bytes that a client's connection takes along: read, but not a whole command


class Kind(IntEnum):
    """What a packet is."""

    HELLO = 1  # body: who speaks
    ASK = 2
    PIECE = 3  # body: bytes of what is carried over
    GIVEN = 4  # body: size and check of all pieces; with the datagram socket, if there is one
    TAKEN = 5
    CLIENT = 6  # body: the rest of what it has said; with its connection
    PROGRESS = 7  # body: what became of an attempt or request that the old process had taken


class WireError(ValueError):
    """A packet that is none; the text says why."""


class Packet(NamedTuple):
    """One packet as it was read."""

    kind: Kind
    body: bytes


def pack(kind: Kind, body: bytes = b"") -> bytes:
    """The packet's bytes."""
    return _HEAD.pack(MAGIC, PROTOCOL, kind, zlib.crc32(body)) + body


def unpack(data: bytes) -> Packet:
    """Raises `WireError`."""
    if len(data) < _HEAD.size or len(data) > PACKET_MOST:
        raise WireError(f"packet of {len(data)} bytes")
    magic, protocol, kind, check = _HEAD.unpack_from(data)
    if magic != MAGIC:
        raise WireError("not a handover")
    if protocol != PROTOCOL:
        raise WireError(f"protocol {protocol}, this is {PROTOCOL}")
    if kind not in Kind.__members__.values():
        raise WireError(f"kind {kind}")
    body = data[_HEAD.size :]
    if zlib.crc32(body) != check:
        raise WireError("check fails")
    return Packet(Kind(kind), body)


def encode(value: Any) -> bytes:
    """A plain value as msgpack."""
    return msgspec.msgpack.encode(value)


def decode(body: bytes, kind: Any) -> Any:
    """Raises `WireError` where it is not of that type."""
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise WireError(str(error)) from None


def pieces(whole: bytes) -> list[bytes]:
    """As packets, the last of which is to follow as GIVEN by `given`."""
    return [pack(Kind.PIECE, whole[at : at + PIECE]) for at in range(0, len(whole), PIECE)]


def given(whole: bytes) -> bytes:
    """The packet that ends the state: its size and checksum."""
    return pack(Kind.GIVEN, encode((len(whole), zlib.crc32(whole))))


class Reassembly:
    """What has come of that which is carried over."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size = 0

    def add(self, body: bytes) -> None:
        """One more piece; raises `WireError` past the bound."""
        self._size += len(body)
        if self._size > CARRIED_MOST:
            raise WireError("too much is carried over")
        self._parts.append(body)

    def whole(self, body: bytes) -> bytes:
        """All of it, if it is what GIVEN says; raises `WireError`."""
        size, check = decode(body, tuple[int, int])
        whole = b"".join(self._parts)
        if len(whole) != size or zlib.crc32(whole) != check:
            raise WireError("what was carried over is not whole")
        return whole
