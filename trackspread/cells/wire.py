"""Encodes messages on cells, which share one address with the messages of views.

A datagram is a magic number, a digest as in the messages of views, and the message (MessagePack). The magic
number distinguishes the two kinds; messages of a view name their cell as their fleet, so that one address
serves many views.
"""

from __future__ import annotations

import msgspec

from ..membership.messages import MemberMessage
from ..membership.wire import Wire
from .messages import CellsMessage

MAGIC = b"tc\x01"  # identifies the kind of datagram and the version of its format

_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(CellsMessage)


class CellsWire(Wire):
    """Encodes and decodes messages on cells of one fleet, and messages of any view.

    The core knows in which views it is a member.
    """

    def accepts_fleet(self, fleet: str) -> bool:
        """Returns True, because views of all names are accepted."""
        return True

    def pack_message(self, message: CellsMessage) -> bytes:
        """Returns the datagram of a message on cells."""
        return self._signed(_encode(message), MAGIC)

    def read(self, data: bytes) -> MemberMessage | CellsMessage | None:
        """Returns the message of a datagram of either kind, or None for one that is counted as dropped."""
        if not data.startswith(MAGIC):
            return self.unpack(data)
        payload = self._verified_payload(data, MAGIC)
        if payload is None:
            return None
        try:
            message = _decoder.decode(payload)
        except (msgspec.DecodeError, RecursionError):
            self.dropped["spoilt"] += 1
            return None
        if message.fleet != self.fleet:
            self.dropped["another fleet"] += 1
            return None
        return message
