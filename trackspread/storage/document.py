"""Encodes versioned documents of kind, schema version, checksum and body as one line of JSON.

Documents of older versions are upgraded when read; those of newer versions are rejected.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import msgspec
import xxhash

Body = TypeVar("Body")
Upgrade = Callable[[dict[str, Any]], dict[str, Any]]  # converts a body of one version to the next version


class DocumentError(ValueError):
    """Reports a document that can't be used; `newer` is set if a newer version of the program wrote it."""

    def __init__(self, text: str, newer: bool = False) -> None:
        super().__init__(text)
        self.newer = newer


class _Envelope(msgspec.Struct, frozen=True):
    kind: str
    version: int
    check: str
    body: msgspec.Raw


class Schema:
    """Defines the format of one kind of document.

    `upgrades` maps each version below `version` to the function that converts its body to the next version;
    raises `ValueError` if one is missing.
    """

    def __init__(self, kind: str, version: int, upgrades: Mapping[int, Upgrade] | None = None) -> None:
        self.kind = kind
        self.version = version
        self._upgrades = dict(upgrades or {})
        if missing := [v for v in range(1, version) if v not in self._upgrades]:
            raise ValueError(f"{kind}: the upgrade from version {missing[0]} is missing")

    def pack(self, value: msgspec.Struct) -> bytes:
        """Encodes a document of the current version, with a newline at its end."""
        body = msgspec.json.encode(value)
        envelope = _Envelope(self.kind, self.version, xxhash.xxh3_64_hexdigest(body), msgspec.Raw(body))
        return msgspec.json.encode(envelope) + b"\n"

    def unpack(self, data: bytes, type: type[Body]) -> Body:
        """Decodes a document and upgrades it to the current version; raises `DocumentError`.

        Only the first line is read, because the rest of an area may be left from a longer document.
        """
        try:
            envelope = msgspec.json.decode(data.partition(b"\n")[0], type=_Envelope)
        except msgspec.DecodeError as error:
            raise DocumentError(f"not a document: {error}") from None
        if envelope.kind != self.kind:
            raise DocumentError(f"kind: must be {self.kind!r}, got {envelope.kind!r}")
        if envelope.version > self.version:
            raise DocumentError(
                f"{self.kind}: version must be at most {self.version}, got {envelope.version}, which a newer "
                "version of the program wrote",
                newer=True,
            )
        body = bytes(envelope.body)
        if xxhash.xxh3_64_hexdigest(body) != envelope.check:
            raise DocumentError(f"{self.kind}: the checksum does not match the body")
        try:
            if envelope.version == self.version:
                return msgspec.json.decode(body, type=type, strict=True)
            upgraded = msgspec.json.decode(body, type=dict[str, Any])
            for version in range(envelope.version, self.version):
                upgraded = self._upgrades[version](upgraded)
            return msgspec.convert(upgraded, type, strict=True)
        except (msgspec.DecodeError, KeyError, IndexError) as error:
            raise DocumentError(f"{self.kind}: {error}") from None
