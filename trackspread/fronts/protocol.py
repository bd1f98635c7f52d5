"""Defines the interface of a client protocol: an adapter turns bytes to a `Call`, and an answer to bytes.

An adapter knows nothing of connections, pools or decisions; `connections.py` keeps order, limits and
backpressure in the same way for every protocol.
"""

from __future__ import annotations

from typing import Protocol

from ..call import Call


class ProtocolError(ValueError):
    """Reports input after which nothing more on the connection can be read; the text is the reason."""


class Ping:
    """Represents a client's question whether this gateway is ready."""


PING = Ping()
Item = Call | Ping | bytes  # bytes: the complete encoded answer to a command that cannot be accepted


class CommandReader(Protocol):
    """Reads the commands of one connection, and holds the incomplete one."""

    @property
    def is_midway(self) -> bool:
        """Returns whether a command has begun and not ended."""

    @property
    def buffered_bytes(self) -> int:
        """Returns how many bytes of the incomplete command are kept."""

    @property
    def kept_body_bytes(self) -> int:
        """Returns how many of them belong to its long body."""

    long_body_bytes: int
    """Bytes received of the incomplete command's long body, discarded ones included."""

    had_long_body: bool
    """Whether the command that was read last had a long body."""

    is_discarding: bool
    """Whether the incomplete command's long body is not kept."""

    had_discarded_body: bool
    """Whether the long body of the command that was read last was not kept; its call has an empty one."""

    def discard_body(self) -> None:
        """Frees what was received of the incomplete command's long body, and keeps nothing of its rest."""

    def incomplete_call(self) -> Call | None:
        """Returns the call of the incomplete command without its long body, or None if it is not valid."""

    def take_buffered(self) -> list[bytes]:
        """Returns the incomplete command in parts, for another reader; this one is not used any more.

        A command whose long body is discarded cannot be taken.
        """

    def read(self, data: bytes, start: int) -> tuple[int, Item | None]:
        """Reads the command that begins, or continues, at `start`.

        Returns the offset in `data` at which it ends and the command, or (-1, None) if it does not end in
        `data`. Raises `ProtocolError`.
        """


class ClientAdapter(Protocol):
    """Encodes and reads one protocol; the same object serves all connections."""

    def command_reader(self) -> CommandReader:
        """Returns the reading side of a new connection."""

    def encode_value(self, call: Call, value: bytes) -> bytes:
        """Returns the answer with a request's value."""

    def encode_value_head(self, call: Call, length: int) -> bytes:
        """Returns the bytes before a value of `length` bytes that is forwarded while it arrives."""

    def encode_value_tail(self, call: Call) -> bytes:
        """Returns the bytes after a value that was forwarded."""

    def encode_rejection(self, call: Call, retry_after_ms: int) -> bytes:
        """Returns the answer that a retry is safe, after `retry_after_ms` if that is not 0."""

    def encode_failure(self, call: Call, reason: str) -> bytes:
        """Returns the answer that a request failed; it may have been executed."""

    def encode_invalid_call(self, reason: str) -> bytes:
        """Returns the answer to a request that cannot be accepted."""

    def encode_protocol_error(self, reason: str) -> bytes:
        """Returns the last answer on a connection that cannot be read any further."""

    def encode_pong(self, is_ready: bool) -> bytes:
        """Returns the answer to a `Ping`."""
