"""Holds the place of one answer in the order of a client's connection, and encodes the answer.

It knows a call and the protocol's encoding. It knows no sockets; the connection writes the answers.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

from ..call import Call, PausableSource
from .protocol import ClientAdapter


class SlotOwner(Protocol):
    """Writes the answers of one connection's slots in their order."""

    adapter: ClientAdapter
    slots: deque[ResponseSlot]

    def send_answer(self, slot: ResponseSlot, answer: bytes) -> None:
        """Writes an answer, or keeps it until its turn."""

    def begin_value(self, slot: ResponseSlot) -> None:
        """Begins to send a long value, or pauses its source until its turn."""

    def write(self, data: bytes) -> None:
        """Writes the next bytes of a long value."""

    def end_value(self, slot: ResponseSlot, tail: bytes) -> None:
        """Writes the end of a long value."""

    def close_incomplete(self) -> None:
        """Closes the connection after the bytes of a long value that cannot be completed."""

    def memory_changed(self) -> None:
        """Handles that a slot keeps more than before."""

    def is_backlogged(self) -> bool:
        """Returns whether the client recently had many commands waiting, or its pipeline was full."""

    def has_ended(self) -> bool:
        """Returns whether the client's connection has ended."""


class ResponseSlot:
    """Holds the place of one answer in the order of its connection."""

    __slots__ = ("answer", "client", "request", "request_bytes", "source", "waiting")

    def __init__(self, client: SlotOwner, request: int = -1) -> None:
        self.client = client
        self.request = request
        self.request_bytes = 0  # of the command, which is kept until it is answered
        self.answer: bytes | None = None
        self.source: PausableSource | None = None  # of a long value that is forwarded while it arrives
        self.waiting: list[bytes] | None = None  # parts of a long value before its turn; None in its turn

    @property
    def answer_bytes(self) -> int:
        """Returns the size of what waits for this slot's turn."""
        return len(self.answer or b"") + sum(map(len, self.waiting or ()))

    def begin_value(self, call: Call, length: int, source: PausableSource) -> None:
        """Begins a long value of `length` bytes, which `source` provides."""
        self.source, self.waiting = source, [self.client.adapter.encode_value_head(call, length)]
        self.client.begin_value(self)

    def add_piece(self, data: bytes) -> None:
        """Forwards the next bytes of the long value, or keeps them until its turn."""
        if self.waiting is not None:
            self.waiting.append(data)
            self.client.memory_changed()
        else:
            self.client.write(data)

    def end_value(self, call: Call) -> None:
        """Completes the long value."""
        tail = self.client.adapter.encode_value_tail(call)
        self.source = None
        if self.waiting is None:
            return self.client.end_value(self, tail)
        waiting = self.waiting
        self.waiting = None
        self.client.send_answer(self, b"".join([*waiting, tail]))

    def abort_value(self, call: Call) -> None:
        """Ends a long value that cannot be completed.

        The client gets an error if none of the value was sent; otherwise its connection is closed, so that it
        can see that the value is incomplete.
        """
        self.source = None
        if self.waiting is not None:
            self.waiting = None
            self.client.send_answer(self, self.client.adapter.encode_failure(call, "failed"))
        else:
            self.client.close_incomplete()

    def send_value(self, call: Call, value: bytes) -> None:
        """Answers with the request's value."""
        self.client.send_answer(self, self.client.adapter.encode_value(call, value))

    def send_rejection(self, call: Call, retry_after_ms: int) -> None:
        """Answers that the request is rejected."""
        self.client.send_answer(self, self.client.adapter.encode_rejection(call, retry_after_ms))

    def send_failure(self, call: Call, reason: str) -> None:
        """Answers that the request failed."""
        self.client.send_answer(self, self.client.adapter.encode_failure(call, reason))
