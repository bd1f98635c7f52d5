"""Words about configuration as bytes: datagrams, each with a digest, keyed where the fleet has a key.

A datagram is a mark, a digest of what follows, and the message (MessagePack), as those of the view are.
Whatever does not fit its digest, its types or the fleet's name is counted and dropped. May know: bytes, keys.
May not know: what any of it means.
"""

from __future__ import annotations

from collections import Counter

import msgspec

from ..membership.wire import DIGEST_BYTES, Keys
from .terms import Message

MARK = b"td\x01"  # and the version of what follows
DATAGRAM = 1_400  # bytes at most: one packet on any network
_HEAD = len(MARK) + DIGEST_BYTES

_encode = msgspec.msgpack.Encoder().encode
_message = msgspec.msgpack.Decoder(Message)


class Wire:
    """One process's; `dropped` counts what was not believed, by why."""

    def __init__(self, fleet: str, keys: Keys) -> None:
        self.fleet, self.keys = fleet, keys
        self.dropped: Counter[str] = Counter()

    def pack(self, message: Message) -> bytes:
        payload = _encode(message)
        return MARK + self.keys.sign(payload) + payload

    def unpack(self, data: bytes) -> Message | None:
        if not _HEAD < len(data) <= DATAGRAM or not data.startswith(MARK):
            return self._dropped("foreign")
        payload = data[_HEAD:]
        if not self.keys.matches(data[len(MARK) : _HEAD], payload):
            return self._dropped("digest")
        try:
            message = _message.decode(payload)
        except (msgspec.DecodeError, RecursionError):
            return self._dropped("spoilt")
        return message if message.fleet == self.fleet else self._dropped("another fleet")

    def _dropped(self, why: str) -> Message | None:
        """Counted, and no message."""
        self.dropped[why] += 1
        return None
