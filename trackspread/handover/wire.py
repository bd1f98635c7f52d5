"""Encodes the messages between the old process and the new one, as packets with a checksum.

Bodies are msgpack, and nothing is unpickled. A packet that is too long, is of an unknown kind or has a wrong
checksum is rejected. This module may depend on the packets' layout, not on sockets or steps.
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
PIECE_BYTES = 32 << 10  # of the state in one packet
MAX_STATE_BYTES = 16 << 20  # far more than a state with all its tables at their limits
MAX_CLIENT_REST_BYTES = 36 << 10  # of an incomplete command that is handed over with its client's connection


class Kind(IntEnum):
    """Names the kinds of packets."""

    HELLO = 1  # body: the sender's name
    STATE_REQUEST = 2
    STATE_PIECE = 3  # body: bytes of the state
    STATE_END = 4  # body: size and checksum of the state; carries the peers' socket, if there is one
    TAKEN = 5
    CLIENT = 6  # body: the incomplete command that was read; carries the client's connection
    PROGRESS = 7  # body: a report on an attempt or request of the old process


class WireError(ValueError):
    """Reports a packet that cannot be accepted; the text is the reason."""


class Packet(NamedTuple):
    """Holds the kind and body of one packet."""

    kind: Kind
    body: bytes


def pack(kind: Kind, body: bytes = b"") -> bytes:
    """Returns the bytes of a packet."""
    return _HEAD.pack(MAGIC, PROTOCOL, kind, zlib.crc32(body)) + body


def unpack(data: bytes) -> Packet:
    """Returns the packet in these bytes; raises `WireError`."""
    if len(data) < _HEAD.size or len(data) > MAX_PACKET_BYTES:
        raise WireError(f"a packet must have {_HEAD.size} to {MAX_PACKET_BYTES} bytes, got {len(data)}")
    magic, protocol, kind, checksum = _HEAD.unpack_from(data)
    if magic != MAGIC:
        raise WireError(f"a packet must start with {MAGIC!r}, got {magic!r}")
    if protocol != PROTOCOL:
        raise WireError(f"protocol must be {PROTOCOL}, got {protocol}")
    if kind not in Kind.__members__.values():
        raise WireError(f"unknown kind {kind}")
    body = data[_HEAD.size :]
    if zlib.crc32(body) != checksum:
        raise WireError("wrong checksum")
    return Packet(Kind(kind), body)


def encode(value: Any) -> bytes:
    """Returns a value as msgpack."""
    return msgspec.msgpack.encode(value)


def decode(body: bytes, value_type: Any) -> Any:
    """Returns the value in msgpack; raises `WireError` if it is not of this type."""
    try:
        return msgspec.msgpack.decode(body, type=value_type)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise WireError(str(error)) from None


def state_packets(state: bytes) -> list[bytes]:
    """Returns the packets with the state's pieces; `state_end_packet` has to follow them."""
    return [pack(Kind.STATE_PIECE, state[at : at + PIECE_BYTES]) for at in range(0, len(state), PIECE_BYTES)]


def state_end_packet(state: bytes) -> bytes:
    """Returns the packet that ends the state, with the state's size and checksum."""
    return pack(Kind.STATE_END, encode((len(state), zlib.crc32(state))))


class Reassembly:
    """Collects the pieces of the state that have arrived."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size = 0

    def add(self, body: bytes) -> None:
        """Adds a piece; raises `WireError` if the state is longer than `MAX_STATE_BYTES`."""
        self._size += len(body)
        if self._size > MAX_STATE_BYTES:
            raise WireError(f"the state must have at most {MAX_STATE_BYTES} bytes, got {self._size}")
        self._parts.append(body)

    def complete(self, end_body: bytes) -> bytes:
        """Returns the state if its size and checksum match STATE_END's body; otherwise raises `WireError`."""
        size, checksum = decode(end_body, tuple[int, int])
        state = b"".join(self._parts)
        if len(state) != size or zlib.crc32(state) != checksum:
            raise WireError(f"the state must have {size} bytes and their checksum, got {len(state)} bytes")
        return state
