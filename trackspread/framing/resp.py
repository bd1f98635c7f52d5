"""Where RESP2 messages end, and that no header in them asks for more than the protocol has room for."""

from __future__ import annotations

from typing import NamedTuple

VALUE_MOST = 64 << 10  # bytes of one word of a command, but for its last: that may be long
LONG_FROM = 64 << 10  # bytes over which a value is passed on as it comes, not held until it is whole
LONG_MOST = 4 << 20  # bytes of a backend's value, or of a command's last word
COMMAND_MOST = VALUE_MOST + 4096  # bytes of a whole command but for a long last word
ARGUMENTS_MOST = 16  # words of a command; the longest that a client has a use for holds five
EXTRA_MOST = 1024  # bytes of an answer's load report or figures on use
EXTRA_ITEMS = 16  # of figures on use that come as an array
LINE_MOST = 512  # bytes of a header or an error line
ANSWER_ITEMS = 3  # value, figures on use, load report
DEPTH_MOST = 2  # arrays in one another in an answer


class Words(NamedTuple):
    """A client's command, to be passed on as it came but for the value of `d`."""

    front: tuple[bytes, ...]  # command, customer, id
    head: bytes  # names and values before `d`, with the comma behind them
    tail: bytes  # those after it, with the comma before them
    body: tuple[bytes, ...]


class FrameError(ValueError):
    """Nothing that follows on this connection can be read; the text says why."""


class Frames:
    """Finds the end of each message; goes ahead of hiredis, which takes any header at its word.

    An array's places would be set aside before its first element has come (a hundred million of them, for
    each collection of garbage to walk), the two bytes behind a value are not looked at, and types of RESP3
    are read as well.
    """

    __slots__ = ("_open", "_part", "_size", "_value", "long", "long_at")

    def __init__(self) -> None:
        self._open: list[int] = []  # elements still to come of each array that is open
        self._part = b""  # of a header, or of the two bytes behind a value
        self._value = -1  # bytes still to come of the value that is open, -1 for none
        self._size = 0  # bytes of the message so far
        self.long = False  # whether a long value is under way: its bytes are taken by `take`, not by `scan`
        self.long_at = 0  # where its first byte lies in what was scanned last

    @property
    def midway(self) -> bool:
        """Whether a message has begun and not ended."""
        return bool(self._open or self._part or self._value >= 0)

    @property
    def rest(self) -> int:
        """Bytes still to come of the value that is under way."""
        return max(0, self._value)

    def take(self, size: int) -> None:
        """So many bytes of a long value have been taken."""
        self._value -= size
        self.long = self._value > 0

    def scan(self, data: bytes, at: int) -> int:
        """Where in `data` the message ends that begins, or goes on, at `at`; -1 where it does not, or where a
        long value begins."""
        size = len(data)
        while at < size:
            if self._value >= 0:
                at = self._scan_value(data, at)
                if self._value >= 0:
                    return -1
            else:
                end = data.find(b"\n", at, at + LINE_MOST)
                line = self._part + (data[at : end + 1] if end >= 0 else data[at : at + LINE_MOST])
                if end < 0:
                    if len(line) >= LINE_MOST:
                        raise FrameError("line too long")
                    self._kind(line[:1])
                    self._part = line
                    return -1
                self._part = b""
                at = end + 1
                if line[-2:] != b"\r\n":
                    raise FrameError("line does not end in CR LF")
                if (length := self._header(line)) >= 0:
                    if length > LONG_FROM:
                        self._value = length
                        self.long = True
                        self.long_at = at
                        return -1
                    end = at + length + 2
                    if end <= size:  # the usual case: the value has come whole
                        if data[end - 2 : end] != b"\r\n":
                            raise FrameError("value longer than its length")
                        at = end
                    else:
                        self._value = length
                        continue
                elif length == -2:
                    continue  # an array has opened
            if self._closed():
                return at
        return -1

    def _scan_value(self, data: bytes, at: int) -> int:
        take = min(self._value, len(data) - at)
        at = at + take
        self._value = self._value - take
        if self._value == 0:
            take = 2 - len(self._part)
            self._part += data[at : at + take]
            at = min(len(data), at + take)
            if not b"\r\n".startswith(self._part):
                raise FrameError("value longer than its length")
            if len(self._part) == 2:
                self._part = b""
                self._value = -1
        return at

    def _closed(self) -> bool:
        """One element has ended; whether the whole message has with it."""
        opened = self._open
        while opened:
            opened[-1] -= 1
            if opened[-1]:
                return False
            opened.pop()
        return True

    def _kind(self, kind: bytes) -> None:
        """Raises where no header may begin so."""
        raise NotImplementedError

    def _header(self, line: bytes) -> int:
        """Bytes of the value that follows, -1 where nothing does, -2 where an array's elements do."""
        raise NotImplementedError


def _length(line: bytes, most: int, null: bool = False) -> int:
    text = line[1:-2]
    if null and text == b"-1":
        return -1
    if not (text.isdigit() and len(text) <= 9):
        raise FrameError("bad length")
    length = int(text)
    if length > most:
        raise FrameError("length over the limit")
    return length


class CommandFrames(Frames):
    """Commands: arrays of bulk strings."""

    __slots__ = ()

    def _kind(self, kind: bytes) -> None:
        if kind != (b"$" if self._open else b"*"):
            raise FrameError("expected an array of bulk strings")

    def _header(self, line: bytes) -> int:
        self._kind(line[:1])
        if not self._open:
            count = _length(line, ARGUMENTS_MOST)
            if not count:
                raise FrameError("empty command")
            self._open.append(count)
            self._size = 0
            return -2
        length = _length(line, LONG_MOST if self._open == [1] else VALUE_MOST)
        self._size += length if length <= LONG_FROM else 0
        if self._size > COMMAND_MOST:
            raise FrameError("command too long")
        return length


class AnswerFrames(Frames):
    """Backends' answers: an array of value, figures and report; an error line; a probe's string or status."""

    __slots__ = ()

    def _kind(self, kind: bytes) -> None:
        if kind not in ((b"$",) if self._open == [ANSWER_ITEMS] else (b"$", b"*", b"-", b"+", b":")):
            raise FrameError("not a value")

    def _header(self, line: bytes) -> int:
        kind = line[:1]
        self._kind(kind)
        if kind == b"$":
            if self._open == [ANSWER_ITEMS]:
                return _length(line, LONG_MOST)
            return _length(line, EXTRA_MOST if self._open else LONG_FROM, null=bool(self._open))
        if kind != b"*":
            return -1
        if not self._open:
            if line != b"*%d\r\n" % ANSWER_ITEMS:
                raise FrameError("not an answer's three parts")
            self._open.append(ANSWER_ITEMS)
            return -2
        count = _length(line, EXTRA_ITEMS, null=True)
        if count <= 0:
            return -1
        if len(self._open) >= DEPTH_MOST:
            raise FrameError("arrays nested too deep")
        self._open.append(count)
        return -2
