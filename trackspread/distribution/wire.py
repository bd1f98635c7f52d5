"""Encodes messages of the configuration's distribution as datagrams with a digest.

A datagram is a magic number, a digest of what follows, and the message (MessagePack), as in the membership.
The digest is keyed if the fleet has a key. A datagram that does not match its digest, its types or the
fleet's name is counted and dropped. The module does no I/O.
"""

from __future__ import annotations

from collections import Counter

import msgspec

from ..membership.wire import Keys
from ..membership.wire import DIGEST_BYTES
from .messages import Message

MAGIC = b"td\x01"  # the last byte is the version of the format
MAX_DATAGRAM_BYTES = 1_400  # one packet on any network
_HEAD = len(MAGIC) + DIGEST_BYTES

_encode = msgspec.msgpack.Encoder().encode
_message = msgspec.msgpack.Decoder(Message)


class _DroppedDatagram(Exception):
    """Rejects a datagram for a reason, under which it is counted."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Wire:
    """Encodes and decodes the datagrams of one process; `dropped` counts those dropped, by reason."""

    def __init__(self, fleet: str, keys: Keys) -> None:
        self.fleet = fleet
        self.keys = keys
        self.dropped: Counter[str] = Counter()

    def pack(self, message: Message) -> bytes:
        """Returns the message as one datagram."""
        payload = _encode(message)
        return MAGIC + self.keys.sign(payload) + payload

    def unpack(self, data: bytes) -> Message | None:
        """Returns the message of a datagram, or None if the datagram is dropped."""
        try:
            return self._decode(data)
        except _DroppedDatagram as dropped:
            self.dropped[dropped.reason] += 1
            return None

    def _decode(self, data: bytes) -> Message:
        if not _HEAD < len(data) <= MAX_DATAGRAM_BYTES or not data.startswith(MAGIC):
            raise _DroppedDatagram("foreign")
        payload = data[_HEAD:]
        if not self.keys.matches(data[len(MAGIC) : _HEAD], payload):
            raise _DroppedDatagram("digest")
        try:
            message = _message.decode(payload)
        except (msgspec.DecodeError, RecursionError):
            raise _DroppedDatagram("spoilt") from None
        if message.fleet != self.fleet:
            raise _DroppedDatagram("another fleet")
        return message
