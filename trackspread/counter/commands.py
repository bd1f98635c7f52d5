"""The counter's calls as Redis commands, and their replies back: names, fields, what an error means.

Commands and errors are those of Redis' published protocol (RESP2 and RESP3) and of its cluster specification.

May know: bytes. May not know: connections, where a name lies.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from .terms import LIFE_MS, Call, Reply

TOKEN = b"id"  # field of the beats that tells one counter from another that took its place
MOST_FIELDS = 4096  # of one name: more is no counter of this program
MOST_CLOCK = 1 << 52  # ms: beyond any date
Command = tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Refused:
    """An error in place of a reply; `code` says which (MOVED, ASK, TRYAGAIN, LOADING, ...)."""

    text: str

    @property
    def code(self) -> str:
        """First word of the error: which one it is."""
        return self.text.partition(" ")[0]


class CounterError(ValueError):
    """A reply that is none; the text says why."""


def name_of(prefix: str, partition: int, member: int | None) -> bytes:
    """The braces are a hash tag: all names of a partition lie in one slot, and move together."""
    what = "beats" if member is None else f"m:{member & (1 << 64) - 1:x}"
    return f"{prefix}:{{{prefix}.{partition}}}:{what}".encode()


def commands(call: Call, prefix: str, slot: int, token: bytes) -> list[Command]:
    """Write, then read: of two who write at once the later reads both."""
    name, field = name_of(prefix, call.partition, call.member), b"%d" % slot
    made: list[Command] = [(b"HSETNX", name, TOKEN, token)] if call.member is None else []
    if call.value is not None:
        made.append((b"HSET", name, field, call.value))
    made += [(b"HGETALL", name), (b"PEXPIRE", name, b"%d" % LIFE_MS), (b"TIME",)]
    return made


def reply(call: Call, results: Sequence[Any]) -> Reply:
    """Raises `CounterError` for errors and whatever a counter does not say."""
    for result in results:
        if isinstance(result, Refused):
            raise CounterError(result.text)
    try:
        *_, pairs, _, (seconds, micros) = results
        whole = dict(pairs) if isinstance(pairs, Mapping) else dict(zip(pairs[::2], pairs[1::2], strict=True))
        clock = int(seconds) * 1000 + int(micros) // 1000
        if len(whole) > MOST_FIELDS or not 0 <= clock < MOST_CLOCK:
            raise ValueError
        fields = {
            int(field): value
            for field, value in whole.items()
            if field != TOKEN and isinstance(value, bytes) and field.isdigit()
        }
    except (AttributeError, TypeError, ValueError):
        raise CounterError("not a counter's reply") from None
    token = whole.get(TOKEN, b"")
    fresh = call.value is not None and results[call.member is None] == 1
    return Reply(clock, fields, token if isinstance(token, bytes) else b"", fresh)
