"""A batch on its way to billing: the same bytes each time it is sent, and what billing answers.

May know: records. May not know: HTTP, files. One JSON object; digests are SHA-256, signatures HMAC-SHA-256
(RFC 2104) over the bytes.
"""

from __future__ import annotations

import hashlib
import hmac

import msgspec

from ..storage.slots import Scan
from .control import Names
from .record import Use, unpack


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One record, in words. `units`: billionths, as a decimal: JSON's numbers lose what lies past 2^53."""

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
    """`producer`: the folder it comes from; `name`: the gateway's; `epoch`: which of its lives. Places
    `first` to `last` of a stream. `base`: the place before the stream's first. `length`: its last place, if
    no more will come. `holes`: places that can't be read any more: counted, and lost."""

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
        """The idempotency key: what is sent again under it has the same bytes."""
        return f"{self.stream}:{self.first}-{self.last}"


class Reply(msgspec.Struct, frozen=True):
    """Billing's word. `taken`: the stream's last place that it has, for good. `fenced`: whoever sent this was
    replaced, and nothing of the stream behind `sealed` will be taken. `conflict`: it has other records under
    these places."""

    taken: int
    sealed: int | None = None
    fenced: bool = False
    conflict: bool = False


def rows(scan: Scan, names: Names) -> tuple[Row, ...]:
    """The rows of a batch, in order of places; what can't be read has none."""
    return tuple(
        _row(sequence, use, names)
        for sequence, payload in sorted(scan.payloads.items())
        if (use := unpack(payload)) is not None
    )


def _row(sequence: int, use: Use, names: Names) -> Row:
    return Row(
        sequence,
        use.kind,
        use.ending,
        use.time,
        f"{use.customer:016x}",
        _name(names.classes, use.cls),
        _name(names.plans, use.plan),
        use.version,
        use.requests,
        use.attempts,
        str(use.units),
    )


def _name(names: tuple[str, ...], number: int) -> str:
    return names[number] if number < len(names) else f"#{number}"


def encode(batch: Batch) -> bytes:
    """The body of the call to billing."""
    return msgspec.json.encode(batch)


def decode(body: bytes) -> Batch:
    """Raises `msgspec.DecodeError`."""
    return msgspec.json.decode(body, type=Batch, strict=True)


def digest(body: bytes) -> str:
    """SHA-256 in hexadecimal digits."""
    return hashlib.sha256(body).hexdigest()


def signature(body: bytes, key: str, secret: bytes) -> str:
    """Over the idempotency key too: a body can't be passed off under another one."""
    return hmac.new(secret, key.encode() + b"\n" + body, hashlib.sha256).hexdigest()


def signed(body: bytes, key: str, secret: bytes, told: str) -> bool:
    """Whether `told` is the body's signature, in constant time."""
    return hmac.compare_digest(signature(body, key, secret).encode(), told.encode())
