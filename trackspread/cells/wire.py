"""Words on cells as bytes, beside those of the views, at one address.

A datagram is a mark, a digest as the views' words have it, and the message (MessagePack). The mark tells both
kinds apart; a view's words name their cell as their fleet, so one address serves many. May know: bytes, keys.
May not know: what any of it means.
"""

from __future__ import annotations

import msgspec

from ..membership.messages import MemberMessage
from ..membership.wire import Keys, Wire
from .terms import Message

MARK = b"tc\x01"  # and the version of what follows

_encode = msgspec.msgpack.Encoder().encode
_message = msgspec.msgpack.Decoder(Message)


class CellsWire(Wire):
    """Of one fleet's name for messages; views' words are read whatever their cell, the core knows which."""

    def __init__(self, fleet: str, keys: Keys, most: int) -> None:
        """`most`: members of any one view."""
        super().__init__(fleet, keys, most)

    def accepts_fleet(self, fleet: str) -> bool:
        return True

    def pack_message(self, message: Message) -> bytes:
        return self._sealed(_encode(message), MARK)

    def read(self, data: bytes) -> MemberMessage | Message | None:
        """A datagram of either kind."""
        if not data.startswith(MARK):
            return self.unpack(data)
        payload = self._opened(data, MARK)
        if payload is None:
            return None
        try:
            made = _message.decode(payload)
        except (msgspec.DecodeError, RecursionError):
            self.dropped["spoilt"] += 1
            return None
        if made.fleet != self.fleet:
            self.dropped["another fleet"] += 1
            return None
        return made
