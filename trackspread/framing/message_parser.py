"""Parses complete RESP2 messages with one hiredis reader for all connections of a kind.

A reader keeps a buffer of the longest message that it was given, so one for each connection would keep far
more than the messages that are being received.
"""

from __future__ import annotations

from collections.abc import Sequence

import hiredis


class MessageParser:
    """Parses messages that a `FrameScanner` found complete."""

    def __init__(self) -> None:
        self._reader = hiredis.Reader()

    def parse(self, parts: Sequence[bytes]) -> object:
        """Returns the message that is complete in these parts; raises `hiredis.ProtocolError`."""
        try:
            for part in parts:
                self._reader.feed(part)
            return self._reader.gets()
        except hiredis.ProtocolError:
            self._reader = hiredis.Reader()  # a reader stays at its first error
            raise
