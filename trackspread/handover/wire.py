"""Messages between the old process and the new one: packets with a checksum, bodies as msgpack.

May know: layout. May not know: sockets, steps. Nothing is unpickled; a packet that is too long, of an unknown
kind, or whose checksum is wrong is rejected.
"""

from __future__ import annotations

import struct
import zlib
from enum import IntEnum
from typing import Any, NamedTuple

import msgspec

from .states import PROTOCOL

MAGIC = b"tsho"
_HEAD = struct.Struct("<4sBBxxI")  # magic, protocol, kind, checksum
MAX_PACKET_BYTES = 40 << 10
PIECE_BYTES = 32 << 10  # of the state, in one packet
MAX_STATE_BYTES = 16 << 20  # far over any table's limit
MAX_CLIENT_REST_BYTES = 36 << 10  # handed over with a client's connection: read, but no complete command


class Kind(IntEnum):
    """What a packet is."""

    HELLO = 1  # body: the sender's name
    STATE_REQUEST = 2
    STATE_PIECE = 3  # body: bytes of the state
    STATE_END = 4  # body: size and checksum of the state; with the datagram socket, if there is one
    TAKEN = 5
    CLIENT = 6  # body: what was read of it and is no complete command; with its connection
    PROGRESS = 7  # body: what became of an attempt or request that the old process had accepted


class WireError(ValueError):
    """A packet that cannot be accepted; the text is the reason."""


class Packet(NamedTuple):
    """One packet as it was read."""

    kind: Kind
    body: bytes


def pack(kind: Kind, body: bytes = b"") -> bytes:
    """The bytes of a packet."""
    return _HEAD.pack(MAGIC, PROTOCOL, kind, zlib.crc32(body)) + body


def unpack(data: bytes) -> Packet:
    """The packet in these bytes; raises `WireError`."""
    if len(data) < _HEAD.size or len(data) > MAX_PACKET_BYTES:
        raise WireError(f"packet of {len(data)} bytes")
    magic, protocol, kind, checksum = _HEAD.unpack_from(data)
    if magic != MAGIC:
        raise WireError("not a handover")
    if protocol != PROTOCOL:
        raise WireError(f"protocol {protocol}, this is {PROTOCOL}")
    if kind not in Kind.__members__.values():
        raise WireError(f"kind {kind}")
    body = data[_HEAD.size :]
    if zlib.crc32(body) != checksum:
        raise WireError("wrong checksum")
    return Packet(Kind(kind), body)


def encode(value: Any) -> bytes:
    """A value as msgpack."""
    return msgspec.msgpack.encode(value)


def decode(body: bytes, value_type: Any) -> Any:
    """The value in msgpack; raises `WireError` where it is not of that type."""
    try:
        return msgspec.msgpack.decode(body, type=value_type)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise WireError(str(error)) from None


def state_packets(state: bytes) -> list[bytes]:
    """The state in pieces; `state_end_packet` has to follow them."""
    return [pack(Kind.STATE_PIECE, state[at : at + PIECE_BYTES]) for at in range(0, len(state), PIECE_BYTES)]


def state_end_packet(state: bytes) -> bytes:
    """The packet that ends the state: its size and checksum."""
    return pack(Kind.STATE_END, encode((len(state), zlib.crc32(state))))


class Reassembly:
    """The pieces of the state that have arrived."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size = 0

    def add(self, body: bytes) -> None:
        """One more piece; raises `WireError` past `MAX_STATE_BYTES`."""
        self._size += len(body)
        if self._size > MAX_STATE_BYTES:
            raise WireError("the state is too long")
        self._parts.append(body)

    def complete(self, end_body: bytes) -> bytes:
        """The state, if size and checksum are those of STATE_END's body; raises `WireError`."""
        size, checksum = decode(end_body, tuple[int, int])
        state = b"".join(self._parts)
        if len(state) != size or zlib.crc32(state) != checksum:
            raise WireError("the state is not complete")
        return state
