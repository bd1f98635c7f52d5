"""Encodes the messages between the old process and the new one, as packets with a checksum.

Bodies are msgpack, and nothing is unpickled. A packet that is too long, is of an unknown kind or has a wrong
checksum is rejected. This module may depend on the packets' layout, not on sockets or steps.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable, Iterator
from enum import IntEnum
from typing import Any, NamedTuple

import msgspec

from .states import PROTOCOL

MAGIC = b"tsho"
_HEAD = struct.Struct("<4sBBxxI")  # magic, protocol, kind, checksum
MAX_PACKET_BYTES = 40 << 10
PIECE_BYTES = 32 << 10  # of the state in one packet
MAX_STATE_BYTES = 16 << 20  # far more than a state with all its tables at their limits
MAX_CLIENT_REST_BYTES = 36 << 10  # of a client's input in the packet with its connection
# Of a client's input in all packets: the longest command, and more than one read of what follows it.
MAX_CLIENT_INPUT_BYTES = 5 << 20


class Kind(IntEnum):
    """Names the kinds of packets."""

    HELLO = 1  # body: the sender's name
    STATE_REQUEST = 2  # body: limit on one client's input in bytes; empty for what fits one packet
    STATE_PIECE = 3  # body: bytes of the state
    STATE_END = 4  # body: size and checksum of the state; carries the peers' socket, if there is one
    TAKEN = 5
    CLIENT = 6  # body: the rest of the client's input that was read; carries the client's connection
    PROGRESS = 7  # body: a report on an attempt or request of the old process
    CLIENT_INPUT = 8  # body: a part of the input of the client whose connection follows


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


def max_client_input_bytes(state_request_body: bytes) -> int:
    """Returns the most bytes of one client's input that the sender of a STATE_REQUEST accepts.

    A process of a version without CLIENT_INPUT sends no body. Raises `WireError`.
    """
    return int(decode(state_request_body, int)) if state_request_body else PIECE_BYTES


def client_input_pieces(parts: Iterable[bytes]) -> Iterator[bytes]:
    """Yields a client's input in packets' bodies; the last one goes into the packet with its connection."""
    pending = bytearray()
    for part in parts:
        pending += part
        while len(pending) > PIECE_BYTES:
            yield bytes(pending[:PIECE_BYTES])
            del pending[:PIECE_BYTES]
    yield bytes(pending)


class ClientInput:
    """Collects the input of the client whose connection follows."""

    def __init__(self) -> None:
        self._begin()

    def _begin(self) -> None:
        self._pieces: list[bytes] = []
        self._size = 0
        self._is_valid = True

    def add(self, body: bytes) -> None:
        """Adds a piece; raises `WireError` if the input is longer than `MAX_CLIENT_INPUT_BYTES`."""
        self._size += len(body)
        if self._size > MAX_CLIENT_INPUT_BYTES:
            self.invalidate()
            raise WireError(
                f"a client's input must have at most {MAX_CLIENT_INPUT_BYTES} bytes, got {self._size}"
            )
        if self._is_valid:
            self._pieces.append(body)

    @property
    def size_bytes(self) -> int:
        """Returns the size of the pieces that are kept."""
        return sum(map(len, self._pieces))

    def invalidate(self) -> None:
        """Notes that a packet was rejected, so that the input may be incomplete."""
        self._is_valid = False
        self._pieces.clear()

    def complete(self, rest: bytes) -> list[bytes]:
        """Returns the input's pieces, of which `rest` is the last, and begins with the next client's input.

        Raises `WireError` if a piece may be missing or `rest` is too long.
        """
        pieces, is_valid = self._pieces, self._is_valid
        self._begin()
        if len(rest) > MAX_CLIENT_REST_BYTES:
            raise WireError(
                f"a client's last piece must have at most {MAX_CLIENT_REST_BYTES} bytes, got {len(rest)}"
            )
        if not is_valid:
            raise WireError("a client's input is incomplete: a packet of it was rejected")
        return [*pieces, rest] if rest else pieces


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

    @property
    def size_bytes(self) -> int:
        """Returns the size of the pieces that have arrived."""
        return self._size

    def complete(self, end_body: bytes) -> bytes:
        """Returns the state if its size and checksum match STATE_END's body; otherwise raises `WireError`."""
        size, checksum = decode(end_body, tuple[int, int])
        state = b"".join(self._parts)
        if len(state) != size or zlib.crc32(state) != checksum:
            raise WireError(f"the state must have {size} bytes and their checksum, got {len(state)} bytes")
        return state
