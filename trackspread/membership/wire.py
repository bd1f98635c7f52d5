"""Encodes members' messages as datagrams and tables with a digest, keyed where the fleet has a key.

A datagram is a magic number, a digest of what follows, and the message (MessagePack). A datagram that does
not match its digest, its types, its bounds or the fleet's name is counted and dropped.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from hmac import compare_digest
from typing import TypeVar

import msgspec

from .messages import MemberMessage, TableSnapshot, ViewAnnouncement

MAGIC = b"ts\x01"  # identifies the kind of datagram and the version of its format
DIGEST_BYTES = 16
MAX_DATAGRAM_BYTES = 1_200  # fits into one packet on any network
MAX_MEMBER_BYTES = 512  # limit of a table for each member ...
TABLE_OVERHEAD_BYTES = 4 << 10  # ... and for the rest of it
TABLE_LENGTH_BYTES = 4  # size of the length that precedes a table
MAX_NAME_LENGTH = 64  # limit of a member's or a fleet's name in characters

DecodedT = TypeVar("DecodedT", MemberMessage, TableSnapshot)

_encode = msgspec.msgpack.Encoder().encode
_message_decoder = msgspec.msgpack.Decoder(MemberMessage)
_table_decoder = msgspec.msgpack.Decoder(TableSnapshot)


class Keys:
    """Signs with the current key, and also accepts the previous one while keys change.

    Without keys the digest only detects corruption.
    """

    def __init__(self, current: bytes = b"", previous: bytes = b"") -> None:
        keys = [current, previous] if previous else [current]
        self._hashed_keys = [hashlib.sha256(key).digest() for key in keys]  # blake2b takes at most 64 bytes

    def sign(self, payload: bytes) -> bytes:
        """Returns the digest of this payload by the current key."""
        return self._digest(self._hashed_keys[0], payload)

    @staticmethod
    def _digest(key: bytes, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, digest_size=DIGEST_BYTES, key=key).digest()

    def matches(self, digest: bytes, payload: bytes) -> bool:
        """Returns whether the payload was signed by either key."""
        return any(compare_digest(digest, self._digest(key, payload)) for key in self._hashed_keys)


class Wire:
    """Encodes and decodes one member's messages; `dropped` counts the rejected ones by reason."""

    def __init__(self, fleet: str, keys: Keys, max_members: int) -> None:
        self.fleet = fleet
        self.keys = keys
        self.max_table_bytes = TABLE_OVERHEAD_BYTES + 2 * max_members * MAX_MEMBER_BYTES
        self.dropped: Counter[str] = Counter()

    def pack(self, message: MemberMessage) -> bytes:
        """Returns the datagram, without gossip updates that do not fit or a view that is too large."""
        while len(data := self._signed(_encode(message))) > MAX_DATAGRAM_BYTES:
            if message.updates:
                message = msgspec.structs.replace(message, updates=message.updates[:-2])
            elif isinstance(message.body, ViewAnnouncement) and message.body.view is not None:
                without_view = ViewAnnouncement(message.body.view_number, None)
                message = msgspec.structs.replace(message, body=without_view)
            else:
                break
        return data

    def unpack(self, data: bytes) -> MemberMessage | None:
        """Returns the message of a datagram, or None for one that is dropped."""
        return self._decode(data, _message_decoder)

    def pack_table(self, table: TableSnapshot) -> bytes:
        """Returns the table, preceded by its length in `TABLE_LENGTH_BYTES` bytes, big endian."""
        data = self._signed(_encode(table))
        return len(data).to_bytes(TABLE_LENGTH_BYTES) + data

    def unpack_table(self, data: bytes) -> TableSnapshot | None:
        """Returns the table of these bytes, which begin after its length, or None for one that is dropped."""
        return self._decode(data, _table_decoder)

    def accepts_fleet(self, fleet: str) -> bool:
        """Returns whether messages of this fleet are accepted here."""
        return fleet == self.fleet

    def _decode(self, data: bytes, decoder: msgspec.msgpack.Decoder[DecodedT]) -> DecodedT | None:
        payload = self._verified_payload(data)
        if payload is None:
            return None
        try:
            decoded = decoder.decode(payload)
        except (msgspec.DecodeError, RecursionError):
            self.dropped["spoilt"] += 1
            return None
        if not self.accepts_fleet(decoded.fleet):
            self.dropped["another fleet"] += 1
            return None
        return decoded

    def _signed(self, payload: bytes, magic: bytes = MAGIC) -> bytes:
        return magic + self.keys.sign(payload) + payload

    def _verified_payload(self, data: bytes, magic: bytes = MAGIC) -> bytes | None:
        """Returns the payload of these bytes.

        Where the magic number or the digest does not match, counts the bytes as dropped and returns None.
        """
        header_bytes = len(magic) + DIGEST_BYTES
        if len(data) <= header_bytes or not data.startswith(magic):
            self.dropped["foreign"] += 1
            return None
        payload = data[header_bytes:]
        if not self.keys.matches(data[len(magic) : header_bytes], payload):
            self.dropped["digest"] += 1
            return None
        return payload
