"""One request as a client put it: what a front makes of bytes, and what a backend's dialect makes bytes of.

May know: the decision module's vocabulary. May not know: any protocol, connection or pool.
"""

from __future__ import annotations

from typing import Protocol

RETRY_FLAG = 2  # bit of `options`: a client's repeat


class BadCall(ValueError):
    """A request that cannot be taken; the text is a plain reason, for the client to read."""


class Source(Protocol):
    """Where a long value comes from; what has been read of it already may still follow a pause."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class Call:
    """One request. `cls` and `plan` are indices in the settings, `wait_ms` counts from when it came.

    `form` is the request in its own protocol, for a backend's dialect that speaks the same: passed on as it
    came, nothing is worded anew.
    """

    __slots__ = (
        "cls",
        "customer",
        "first",
        "form",
        "id",
        "options",
        "plan",
        "size",
        "spread",
        "units",
        "wait_ms",
    )

    def __init__(
        self,
        form: object,
        id: bytes,
        cls: int,
        plan: int,
        customer: int,
        wait_ms: int,
        units: float,
        spread: int,
        first: int,
        options: int,
        size: int = 0,
    ) -> None:
        """`size`: bytes of a long body, 0 for a short one."""
        self.form, self.id = form, id
        self.cls, self.plan, self.customer, self.wait_ms = cls, plan, customer, wait_ms
        self.size = size
        self.units, self.spread, self.first, self.options = units, spread, first, options
