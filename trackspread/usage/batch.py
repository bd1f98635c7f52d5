"""Defines the batch that is sent to billing as one JSON object, and billing's reply.

A batch has the same bytes each time it is sent. Digests are SHA-256, signatures HMAC-SHA-256 (RFC 2104).
"""

from __future__ import annotations

import hashlib
import hmac

import msgspec

from ..storage.slots import Scan
from .control import Names
from .record import UsageRecord, unpack


class Row(msgspec.Struct, frozen=True, array_like=True):
    """Holds one record, with names in place of indexes.

    `time` is Unix time in ms, `customer` the tenant as 16 hexadecimal digits, `cls` the request class, and
    `version` the plan's version. `units` are billionths as a decimal string, because JSON numbers are exact
    only up to 2^53.
    """

    sequence: int
    kind: int
    ending: int
    time: int
    customer: str
    cls: str
    plan: str
    version: int
    requests: int
    attempts: int
    units: str


class Batch(msgspec.Struct, frozen=True):
    """Holds slots `first` to `last` of a stream.

    `producer` identifies the folder, `name` the gateway, `epoch` the incarnation of the process. `base` is
    the slot before the stream's first. `length` is the stream's last slot, or None while it is written.
    `holes` counts slots that can no longer be read.
    """

    producer: str
    name: str
    epoch: int
    stream: str
    base: int
    first: int
    last: int
    length: int | None
    rows: tuple[Row, ...]
    holes: int

    @property
    def key(self) -> str:
        """Returns the idempotency key; a batch that is sent again under it has the same bytes."""
        return f"{self.stream}:{self.first}-{self.last}"


class Reply(msgspec.Struct, frozen=True):
    """Holds billing's acknowledgement.

    `taken` is the last slot of the stream that billing has stored. `sealed` is the stream's last slot, once
    billing knows it. `fenced` says that the sender was replaced, so that no slot after `sealed` will be
    accepted. `conflict` says that billing has other records for these slots.
    """

    taken: int
    sealed: int | None = None
    fenced: bool = False
    conflict: bool = False


def rows(scan: Scan, names: Names) -> tuple[Row, ...]:
    """Returns the rows of a batch in order of slots; slots that can't be read have none."""
    return tuple(
        _row(sequence, record, names)
        for sequence, payload in sorted(scan.payloads.items())
        if (record := unpack(payload)) is not None
    )


def _row(sequence: int, record: UsageRecord, names: Names) -> Row:
    return Row(
        sequence,
        record.kind,
        record.ending,
        record.time_ms,
        f"{record.tenant:016x}",
        _name(names.classes, record.request_class),
        _name(names.plans, record.plan),
        record.plan_version,
        record.requests,
        record.attempts,
        str(record.nano_units),
    )


def _name(names: tuple[str, ...], index: int) -> str:
    return names[index] if index < len(names) else f"#{index}"


def encode(batch: Batch) -> bytes:
    """Returns the body of the request to billing."""
    return msgspec.json.encode(batch)


def decode(body: bytes) -> Batch:
    """Returns the batch in a body; raises `msgspec.DecodeError`."""
    return msgspec.json.decode(body, type=Batch, strict=True)


def digest(body: bytes) -> str:
    """Returns the SHA-256 of the body in hexadecimal digits."""
    return hashlib.sha256(body).hexdigest()


def signature(body: bytes, key: str, secret: bytes) -> str:
    """Returns the signature of a body together with its idempotency key, in hexadecimal digits."""
    return hmac.new(secret, key.encode() + b"\n" + body, hashlib.sha256).hexdigest()


def is_signature_valid(body: bytes, key: str, secret: bytes, received: str) -> bool:
    """Returns whether `received` is the body's signature; the comparison takes constant time."""
    return hmac.compare_digest(signature(body, key, secret).encode(), received.encode())
