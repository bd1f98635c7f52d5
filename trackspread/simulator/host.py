"""Runs decision modules for the simulator: one `Broker` for each instance, with no shared state."""

from __future__ import annotations

import struct
import sys
from typing import BinaryIO

from ..decide.broker import Broker
from .wire import DIE, InstanceStarted, InstanceStopped, SettingsError, WireError
from .wire import decode, encode, encode_action, encode_text, parse_settings


def _handle_batch(instances: dict[int, Broker], body: bytes, offset: int) -> bytes:
    """Returns the reply to one batch; an exception of the decision module becomes `die` with its text.

    `offset` is that of the body in the input, for error texts.
    """
    now, events = decode(body, offset)
    replies: dict[int, list[bytes]] = {}
    for instance, event in events:
        records = replies.setdefault(instance, [])
        try:
            if isinstance(event, InstanceStarted):
                instances[instance] = Broker(parse_settings(event.settings), event.seed, now)
            elif isinstance(event, InstanceStopped):
                instances.pop(instance, None)
            elif instance in instances:
                records.extend(encode_action(action) for action in instances[instance].handle(now, event))
        except SettingsError as error:
            records.append(encode_text(DIE, f"settings: {error}"))
        except Exception as error:
            records.append(encode_text(DIE, f"{type(error).__name__}: {error}"))
    return encode((instance, records) for instance, records in replies.items() if records)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the input ends; raises `WireError` for a malformed frame."""
    instances: dict[int, Broker] = {}
    offset = 0
    while True:
        header = source.read(4)
        if not header:
            return
        if len(header) < 4:
            raise WireError(f"input ends inside a frame's length at byte {offset}")
        (size,) = struct.unpack("<I", header)
        body = source.read(size)
        if len(body) < size:
            raise WireError(f"input ends inside a frame at byte {offset + 4 + len(body)}")
        sink.write(_handle_batch(instances, body, offset + 4))
        sink.flush()
        offset += 4 + size


def main() -> int:
    """Serves standard input; returns status 1, with one line on standard error, for a malformed frame."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"wirehost: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
