"""The counter's calls as Redis commands, and their replies back: keys, fields, what an error means.

Commands and errors are those of Redis' published protocol (RESP2 and RESP3) and of its cluster specification.
No I/O; knows nothing of connections, nor of where a key lies.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from .calls import Call, Reply
from .timing import KEY_LIFETIME_MS

TOKEN_FIELD = b"id"  # field of the heartbeats that tells one counter from another that took its place
MAX_FIELDS = 4096  # of one key: more is no counter of this program
MAX_CLOCK_MS = 1 << 52  # ms: beyond any date
Command = tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """An error in place of a reply; `code` says which (MOVED, ASK, TRYAGAIN, LOADING, ...)."""

    text: str

    @property
    def code(self) -> str:
        """First word of the error: which one it is."""
        return self.text.partition(" ")[0]


class CounterError(ValueError):
    """A reply that can't be read as one; the text says why."""


def key_of(prefix: str, partition: int, tenant: int | None) -> bytes:
    """The key of a tenant, or of a partition's heartbeats (None). The braces are a hash tag: all keys of a
    partition lie in one hash slot, and migrate together."""
    what = "beats" if tenant is None else f"m:{tenant & (1 << 64) - 1:x}"
    return f"{prefix}:{{{prefix}.{partition}}}:{what}".encode()


def commands_for(call: Call, prefix: str, gateway: int, token: bytes) -> list[Command]:
    """Write, then read: of two gateways that write at once the later reads both."""
    key = key_of(prefix, call.partition, call.tenant)
    commands: list[Command] = []
    if call.tenant is None:
        commands.append((b"HSETNX", key, TOKEN_FIELD, token))
    if call.value is not None:
        commands.append((b"HSET", key, b"%d" % gateway, call.value))
    commands.append((b"HGETALL", key))
    commands.append((b"PEXPIRE", key, b"%d" % KEY_LIFETIME_MS))
    commands.append((b"TIME",))
    return commands


def parse_reply(call: Call, results: Sequence[Any]) -> Reply:
    """Results of the call's commands as one reply. Raises `CounterError` for errors and whatever is no
    reply."""
    for result in results:
        if isinstance(result, ErrorReply):
            raise CounterError(result.text)
    try:
        *_, pairs, _, (seconds, micros) = results
        complete = (
            dict(pairs) if isinstance(pairs, Mapping) else dict(zip(pairs[::2], pairs[1::2], strict=True))
        )
        clock_ms = int(seconds) * 1000 + int(micros) // 1000
        if len(complete) > MAX_FIELDS or not 0 <= clock_ms < MAX_CLOCK_MS:
            raise ValueError
        fields = {
            int(field): value
            for field, value in complete.items()
            if field != TOKEN_FIELD and isinstance(value, bytes) and field.isdigit()
        }
    except (AttributeError, TypeError, ValueError):
        raise CounterError("not a counter's reply") from None
    token = complete.get(TOKEN_FIELD, b"")
    write_at = 1 if call.tenant is None else 0
    field_was_missing = call.value is not None and results[write_at] == 1
    return Reply(clock_ms, fields, token if isinstance(token, bytes) else b"", field_was_missing)
