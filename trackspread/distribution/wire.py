"""Messages of the configuration's distribution as datagrams, each with a digest, keyed where the fleet has a
key.

A datagram is a magic number, a digest of what follows, and the message (MessagePack), as those of the
membership are. Whatever does not fit its digest, its types or the fleet's name is counted and dropped. No
I/O.
"""

from __future__ import annotations

from collections import Counter

import msgspec

from ..membership.wire import Keys
from ..membership.wire import DIGEST_BYTES
from .messages import Message

MAGIC = b"td\x01"  # and the version of what follows
MAX_DATAGRAM_BYTES = 1_400  # bytes at most: one packet on any network
_HEAD = len(MAGIC) + DIGEST_BYTES

_encode = msgspec.msgpack.Encoder().encode
_message = msgspec.msgpack.Decoder(Message)


class _DroppedDatagram(Exception):
    """A datagram that is not believed, for a reason that is counted under its name."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Wire:
    """The codec of one process; `dropped` counts datagrams that were dropped, by reason."""

    def __init__(self, fleet: str, keys: Keys) -> None:
        self.fleet = fleet
        self.keys = keys
        self.dropped: Counter[str] = Counter()

    def pack(self, message: Message) -> bytes:
        """The message as one datagram."""
        payload = _encode(message)
        return MAGIC + self.keys.sign(payload) + payload

    def unpack(self, data: bytes) -> Message | None:
        """The message of a datagram; None where that is dropped."""
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
