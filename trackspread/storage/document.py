"""Versioned documents: kind, number of the schema, checksum, body. Older are upgraded, newer refused.

May know: bytes. May not know: where they lie. A document is one line of JSON, so that a person can read it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import msgspec
import xxhash

Kept = TypeVar("Kept")
Upgrade = Callable[[dict[str, Any]], dict[str, Any]]  # a body of one version to that of the next


class DocumentError(ValueError):
    """A document that can't be used; the text says why, and `newer` whether a newer program wrote it."""

    def __init__(self, text: str, newer: bool = False) -> None:
        super().__init__(text)
        self.newer = newer


class _Envelope(msgspec.Struct, frozen=True):
    kind: str
    version: int
    check: str
    body: msgspec.Raw


class Schema:
    """How one kind of document is written; `upgrades` takes a version to the one after it."""

    def __init__(self, kind: str, version: int, upgrades: Mapping[int, Upgrade] | None = None) -> None:
        self.kind = kind
        self.version = version
        self._upgrades = dict(upgrades or {})
        if missing := [v for v in range(1, version) if v not in self._upgrades]:
            raise ValueError(f"{kind}: no upgrade from version {missing[0]}")

    def pack(self, value: msgspec.Struct) -> bytes:
        body = msgspec.json.encode(value)
        envelope = _Envelope(self.kind, self.version, xxhash.xxh3_64_hexdigest(body), msgspec.Raw(body))
        return msgspec.json.encode(envelope) + b"\n"

    def unpack(self, data: bytes, type: type[Kept]) -> Kept:
        """Raises `DocumentError`; nothing that was read in part is ever returned. What follows the line, in
        an area that held a longer one before, is passed over."""
        try:
            envelope = msgspec.json.decode(data.partition(b"\n")[0], type=_Envelope)
        except msgspec.DecodeError as error:
            raise DocumentError(f"not a document: {error}") from None
        if envelope.kind != self.kind:
            raise DocumentError(f"found a document of kind {envelope.kind!r}, wanted {self.kind!r}")
        if envelope.version > self.version:
            raise DocumentError(
                f"{self.kind}: found version {envelope.version}, which a newer program "
                f"wrote; this one reads up to {self.version}",
                newer=True,
            )
        body = bytes(envelope.body)
        if xxhash.xxh3_64_hexdigest(body) != envelope.check:
            raise DocumentError(f"{self.kind}: the checksum does not fit what is written")
        try:
            if envelope.version == self.version:
                return msgspec.json.decode(body, type=type, strict=True)
            plain = msgspec.json.decode(body, type=dict[str, Any])
            for version in range(envelope.version, self.version):
                plain = self._upgrades[version](plain)
            return msgspec.convert(plain, type, strict=True)
        except (msgspec.DecodeError, KeyError, IndexError) as error:
            raise DocumentError(f"{self.kind}: {error}") from None
