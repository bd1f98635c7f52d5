"""Messages on cells as bytes, beside those of the views, at one address.

A datagram is a mark, a digest as in the views' messages, and the message (MessagePack). The mark tells both
kinds apart; a view's messages name their cell as their fleet, so one address serves many views.
"""

from __future__ import annotations

import msgspec

from ..membership.messages import MemberMessage
from ..membership.wire import Wire
from .messages import CellsMessage

MAGIC = b"tc\x01"  # the kind of datagram, and the version of what follows

_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(CellsMessage)


class CellsWire(Wire):
    """Encodes and decodes messages on cells of one fleet, and those of any view: the core knows which it is
    in."""

    def accepts_fleet(self, fleet: str) -> bool:
        """Views of all names are accepted."""
        return True

    def pack_message(self, message: CellsMessage) -> bytes:
        """The datagram of a message on cells."""
        return self._signed(_encode(message), MAGIC)

    def read(self, data: bytes) -> MemberMessage | CellsMessage | None:
        """The message of a datagram of either kind; None, counted, for one that is dropped."""
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
