"""Encodes the counter's calls as Redis commands and decodes their replies.

Commands and errors are those of Redis' published protocol (RESP2 and RESP3) and of its cluster specification.
The module does no I/O and does not know connections or the server that holds a key.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from .calls import Call, Reply
from .timing import KEY_LIFETIME_MS

TOKEN_FIELD = b"id"  # field of the heartbeats' key; its value identifies the counter and shows a replacement
MAX_FIELDS = 4096  # fields of one key; a key with more was not written by this program
MAX_CLOCK_MS = 1 << 52  # later than any valid date, in ms
Command = tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """Holds an error that the server returned in place of a reply."""

    text: str

    @property
    def code(self) -> str:
        """Returns the error's first word, which is its code (MOVED, ASK, TRYAGAIN, LOADING and others)."""
        return self.text.partition(" ")[0]


class CounterError(ValueError):
    """Reports a reply that can't be parsed; the text says why."""


def key_of(prefix: str, partition: int, tenant: int | None) -> bytes:
    """Returns the key of a tenant, or of the partition's heartbeats if `tenant` is None.

    The braces are a hash tag: all keys of a partition are in one hash slot and migrate together.
    """
    suffix = "beats" if tenant is None else f"m:{tenant & (1 << 64) - 1:x}"
    return f"{prefix}:{{{prefix}.{partition}}}:{suffix}".encode()


def commands_for(call: Call, prefix: str, gateway: int, token: bytes) -> list[Command]:
    """Returns the commands of a call, which writes first and then reads.

    In this order, the later of two gateways that write at the same time reads both values.
    """
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
    """Returns the results of a call's commands as one reply.

    Raises `CounterError` for an error of the server and for results that can't be parsed.
    """
    for result in results:
        if isinstance(result, ErrorReply):
            raise CounterError(result.text)
    try:
        *_, pairs, _, (seconds, micros) = results
        all_fields = (
            dict(pairs) if isinstance(pairs, Mapping) else dict(zip(pairs[::2], pairs[1::2], strict=True))
        )
        clock_ms = int(seconds) * 1000 + int(micros) // 1000
        if len(all_fields) > MAX_FIELDS or not 0 <= clock_ms < MAX_CLOCK_MS:
            raise ValueError
        fields = {
            int(field): value
            for field, value in all_fields.items()
            if field != TOKEN_FIELD and isinstance(value, bytes) and field.isdigit()
        }
    except (AttributeError, TypeError, ValueError):
        raise CounterError("the results of the call's commands can't be parsed") from None
    token = all_fields.get(TOKEN_FIELD, b"")
    write_index = 1 if call.tenant is None else 0
    field_was_missing = call.value is not None and results[write_index] == 1
    return Reply(clock_ms, fields, token if isinstance(token, bytes) else b"", field_was_missing)
