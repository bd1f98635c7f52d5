"""Members' words as bytes: datagrams and tables, each with a digest, keyed where the fleet has a key.

A datagram is a mark, a digest of what follows, and the message (MessagePack). Whatever does not fit its
digest, its types, its bounds or the fleet's name is counted and dropped. May know: bytes, keys. May not know:
what any of it means.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from hmac import compare_digest
from typing import TypeVar

import msgspec

from .terms import Fresh, MemberMessage, Table

MARK = b"ts\x01"  # and the version of what follows
DIGEST = 16  # bytes
DATAGRAM = 1_200  # bytes at most: one packet on any network
TABLE_EACH, TABLE_LEAST = 512, 4 << 10  # bytes of a table for each member and beside them, at most
NAME_MOST = 64  # characters of a member's or a fleet's name

Read = TypeVar("Read", MemberMessage, Table)

_encode = msgspec.msgpack.Encoder().encode
_message = msgspec.msgpack.Decoder(MemberMessage)
_table = msgspec.msgpack.Decoder(Table)


class Keys:
    """The current key, by which all is signed, and the previous one, which still counts when keys change.
    Without keys the digest only tells what was spoilt on its way."""

    def __init__(self, current: bytes = b"", previous: bytes = b"") -> None:
        used = [current, previous] if previous else [current]
        self._all = [hashlib.sha256(key).digest() for key in used]  # blake2b takes 64 bytes

    def sign(self, payload: bytes) -> bytes:
        return self._digest(self._all[0], payload)

    @staticmethod
    def _digest(key: bytes, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, digest_size=DIGEST, key=key).digest()

    def fits(self, digest: bytes, payload: bytes) -> bool:
        return any(compare_digest(digest, self._digest(key, payload)) for key in self._all)


class Wire:
    """One member's; `dropped` counts what was not believed, by why."""

    def __init__(self, fleet: str, keys: Keys, most: int) -> None:
        self.fleet, self.keys = fleet, keys
        self.table_most = TABLE_LEAST + 2 * most * TABLE_EACH
        self.dropped: Counter[str] = Counter()

    def pack(self, message: MemberMessage) -> bytes:
        """GossipQueue that do not fit are left out, they go with others; so is a view that is too large."""
        while len(made := self._sealed(_encode(message))) > DATAGRAM:
            if message.updates:
                message = msgspec.structs.replace(message, updates=message.updates[:-2])
            elif isinstance(message.body, Fresh) and message.body.view is not None:
                message = msgspec.structs.replace(message, body=Fresh(message.body.number, None))
            else:
                break
        return made

    def unpack(self, data: bytes) -> MemberMessage | None:
        return self._read(data, _message)

    def pack_table(self, table: Table) -> bytes:
        """With its length before it."""
        made = self._sealed(_encode(table))
        return len(made).to_bytes(4) + made

    def unpack_table(self, data: bytes) -> Table | None:
        return self._read(data, _table)

    def ours(self, fleet: str) -> bool:
        """Whether words of this fleet are to be believed here."""
        return fleet == self.fleet

    def _read(self, data: bytes, decoder: msgspec.msgpack.Decoder[Read]) -> Read | None:
        payload = self._opened(data)
        if payload is None:
            return None
        try:
            made = decoder.decode(payload)
        except (msgspec.DecodeError, RecursionError):
            self.dropped["spoilt"] += 1
            return None
        if not self.ours(made.fleet):
            self.dropped["another fleet"] += 1
            return None
        return made

    def _sealed(self, payload: bytes, mark: bytes = MARK) -> bytes:
        return mark + self.keys.sign(payload) + payload

    def _opened(self, data: bytes, mark: bytes = MARK) -> bytes | None:
        head = len(mark) + DIGEST
        if len(data) <= head or not data.startswith(mark):
            self.dropped["foreign"] += 1
            return None
        payload = data[head:]
        if not self.keys.fits(data[len(mark) : head], payload):
            self.dropped["digest"] += 1
            return None
        return payload
