"""Host loop for the simulator's wire: one `Broker` an instance, nothing shared between them."""

from __future__ import annotations

import struct
import sys
from typing import BinaryIO

from ..decide.broker import Broker
from .wire import DIE, Down, SettingsError, Up, WireError, decode, encode, encode_action
from .wire import parse_settings, text_record


def _answer(instances: dict[int, Broker], body: bytes, base: int) -> bytes:
    """The whole reply to one batch; a fault of the decision code becomes `die` with its text."""
    now, events = decode(body, base)
    replies: dict[int, list[bytes]] = {}
    for instance, event in events:
        out = replies.setdefault(instance, [])
        try:
            if isinstance(event, Up):
                instances[instance] = Broker(parse_settings(event.settings), event.seed, now)
            elif isinstance(event, Down):
                instances.pop(instance, None)
            elif instance in instances:
                out.extend(encode_action(action) for action in instances[instance].handle(now, event))
        except SettingsError as error:
            out.append(text_record(DIE, f"settings: {error}"))
        except Exception as error:
            out.append(text_record(DIE, f"{type(error).__name__}: {error}"))
    return encode((instance, out) for instance, out in replies.items() if out)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    instances: dict[int, Broker] = {}
    at = 0
    while True:
        header = source.read(4)
        if not header:
            return
        if len(header) < 4:
            raise WireError(f"input ends inside a frame's length at byte {at}")
        (size,) = struct.unpack("<I", header)
        body = source.read(size)
        if len(body) < size:
            raise WireError(f"input ends inside a frame at byte {at + 4 + len(body)}")
        sink.write(_answer(instances, body, at + 4))
        sink.flush()
        at += 4 + size


def main() -> int:
    """Exit status 0 at the end of input, 1 with one plain line on a malformed frame."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"wirehost: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
