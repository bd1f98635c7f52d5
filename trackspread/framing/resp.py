"""Finds the ends of RESP2 messages, and rejects headers that exceed the protocol's limits."""

from __future__ import annotations

from typing import NamedTuple

MAX_VALUE_BYTES = 64 << 10  # of one word of a command, except for its last one, which may be long
LONG_VALUE_BYTES = 64 << 10  # above which a value is forwarded while it arrives, and not kept until complete
LONG_BODY_BYTES = 4 << 10  # above which a command's last word is kept in pieces, and can be discarded
MAX_LONG_VALUE_BYTES = 4 << 20  # of a backend's value, or of a command's last word
MAX_COMMAND_BYTES = MAX_VALUE_BYTES + 4096  # of a complete command without a long last word
MAX_ARGUMENTS = 16  # words of a command; the longest command has five
MAX_EXTRA_BYTES = 1024  # of an answer's load report or usage figures
MAX_EXTRA_ITEMS = 16  # of usage figures that are sent as an array
MAX_LINE_BYTES = 512  # of a header or an error line
ANSWER_ITEMS = 3  # value, usage figures, load report
MAX_DEPTH = 2  # of nested arrays in an answer


class CommandWords(NamedTuple):
    """Holds a client's command, which is forwarded unchanged except for the value of `d`."""

    prefix: tuple[bytes, ...]  # command, tenant, request id
    head: bytes  # the parameters before `d`, with the comma after them
    tail: bytes  # the parameters after `d`, with the comma before them
    body: tuple[bytes, ...]  # of a long body the pieces in which it arrived, else at most one word


class FrameError(ValueError):
    """Reports input after which nothing more on the connection can be read; the text is the reason."""


class FrameScanner:
    """Finds the end of each message before hiredis parses it, as hiredis trusts every header.

    hiredis allocates an array before its first element has arrived (a hundred million elements, which each
    garbage collection would visit), does not check the two bytes after a value, and accepts types of RESP3.
    """

    __slots__ = (
        "_message_bytes",
        "_open_arrays",
        "_partial",
        "_value_remaining",
        "in_long_value",
        "long_value_start",
    )

    def __init__(self) -> None:
        self._open_arrays: list[int] = []  # elements missing of each open array
        self._partial = b""  # the part received of a header, or of the two bytes after a value
        self._value_remaining = -1  # bytes missing of the open value; -1 for none
        self._message_bytes = 0  # so far
        self.in_long_value = False  # whether a long value is open: `skip` counts its bytes, not `scan`
        self.long_value_start = 0  # offset of its first byte in the data that was scanned last

    @property
    def is_midway(self) -> bool:
        """Returns whether a message has begun and not ended."""
        return bool(self._open_arrays or self._partial or self._value_remaining >= 0)

    @property
    def remaining_bytes(self) -> int:
        """Returns the number of bytes missing of the open value."""
        return max(0, self._value_remaining)

    def skip(self, size: int) -> None:
        """Counts `size` bytes of a long value as consumed."""
        self._value_remaining -= size
        self.in_long_value = self._value_remaining > 0

    def scan(self, data: bytes, at: int) -> int:
        """Returns the offset in `data` at which the message ends that begins, or continues, at `at`.

        Returns -1 if it does not end in `data`, or if a long value begins. Raises `FrameError`.
        """
        size = len(data)
        while at < size:
            if self._value_remaining >= 0:
                at = self._scan_value(data, at)
                if self._value_remaining >= 0:
                    return -1
            else:
                end = data.find(b"\n", at, at + MAX_LINE_BYTES)
                line = self._partial + (data[at : end + 1] if end >= 0 else data[at : at + MAX_LINE_BYTES])
                if end < 0:
                    if len(line) >= MAX_LINE_BYTES:
                        raise FrameError("line too long")
                    self._check_type(line[:1])
                    self._partial = line
                    return -1
                self._partial = b""
                at = end + 1
                if line[-2:] != b"\r\n":
                    raise FrameError("line does not end in CR LF")
                if (length := self._parse_header(line)) >= 0:
                    if length > self._max_short_bytes():
                        self._value_remaining = length
                        self.in_long_value = True
                        self.long_value_start = at
                        return -1
                    end = at + length + 2
                    if end <= size:  # the usual case: the value is complete
                        if data[end - 2 : end] != b"\r\n":
                            raise FrameError("value longer than its length")
                        at = end
                    else:
                        self._value_remaining = length
                        continue
                elif length == -2:
                    continue  # an array has begun
            if self._end_element():
                return at
        return -1

    def _scan_value(self, data: bytes, at: int) -> int:
        size = min(self._value_remaining, len(data) - at)
        at = at + size
        self._value_remaining = self._value_remaining - size
        if self._value_remaining == 0:
            size = 2 - len(self._partial)
            self._partial += data[at : at + size]
            at = min(len(data), at + size)
            if not b"\r\n".startswith(self._partial):
                raise FrameError("value longer than its length")
            if len(self._partial) == 2:
                self._partial = b""
                self._value_remaining = -1
        return at

    def _end_element(self) -> bool:
        """Counts the end of one element; returns whether it ends the message."""
        missing = self._open_arrays
        while missing:
            missing[-1] -= 1
            if missing[-1]:
                return False
            missing.pop()
        return True

    def _max_short_bytes(self) -> int:
        """Returns the size above which the value that begins is a long one."""
        return LONG_VALUE_BYTES

    def _check_type(self, type_byte: bytes) -> None:
        """Raises `FrameError` if a header may not begin with this byte."""
        raise NotImplementedError

    def _parse_header(self, line: bytes) -> int:
        """Returns the bytes of the value that follows, -1 if nothing follows, -2 if an array's elements do.

        Raises `FrameError`.
        """
        raise NotImplementedError


def _parse_length(line: bytes, max_length: int, allows_null: bool = False) -> int:
    text = line[1:-2]
    if allows_null and text == b"-1":
        return -1
    if not (text.isdigit() and len(text) <= 9):
        raise FrameError("bad length")
    length = int(text)
    if length > max_length:
        raise FrameError("length over the limit")
    return length


class CommandScanner(FrameScanner):
    """Finds the ends of commands, which are arrays of bulk strings."""

    __slots__ = ()

    def _max_short_bytes(self) -> int:
        return LONG_BODY_BYTES if self._open_arrays == [1] else MAX_VALUE_BYTES

    def _check_type(self, type_byte: bytes) -> None:
        if type_byte != (b"$" if self._open_arrays else b"*"):
            raise FrameError("expected an array of bulk strings")

    def _parse_header(self, line: bytes) -> int:
        self._check_type(line[:1])
        if not self._open_arrays:
            count = _parse_length(line, MAX_ARGUMENTS)
            if not count:
                raise FrameError("empty command")
            self._open_arrays.append(count)
            self._message_bytes = 0
            return -2
        length = _parse_length(line, MAX_LONG_VALUE_BYTES if self._open_arrays == [1] else MAX_VALUE_BYTES)
        self._message_bytes += length if length <= LONG_VALUE_BYTES else 0
        if self._message_bytes > MAX_COMMAND_BYTES:
            raise FrameError("command too long")
        return length


class AnswerScanner(FrameScanner):
    """Finds the ends of backends' answers.

    An answer is an array of value, usage figures and load report, an error line, or a string or status that
    answers a health check.
    """

    __slots__ = ()

    def _check_type(self, type_byte: bytes) -> None:
        is_value_next = self._open_arrays == [ANSWER_ITEMS]
        if type_byte not in ((b"$",) if is_value_next else (b"$", b"*", b"-", b"+", b":")):
            raise FrameError("not a value")

    def _parse_header(self, line: bytes) -> int:
        type_byte = line[:1]
        self._check_type(type_byte)
        if type_byte == b"$":
            if self._open_arrays == [ANSWER_ITEMS]:
                return _parse_length(line, MAX_LONG_VALUE_BYTES)
            max_length = MAX_EXTRA_BYTES if self._open_arrays else LONG_VALUE_BYTES
            return _parse_length(line, max_length, allows_null=bool(self._open_arrays))
        if type_byte != b"*":
            return -1
        if not self._open_arrays:
            if line != b"*%d\r\n" % ANSWER_ITEMS:
                raise FrameError("not an answer's three parts")
            self._open_arrays.append(ANSWER_ITEMS)
            return -2
        count = _parse_length(line, MAX_EXTRA_ITEMS, allows_null=True)
        if count <= 0:
            return -1
        if len(self._open_arrays) >= MAX_DEPTH:
            raise FrameError("arrays nested too deep")
        self._open_arrays.append(count)
        return -2
