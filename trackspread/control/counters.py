"""Counts requests, attempts and reloads since the start of the process, for operators."""

from __future__ import annotations

from collections.abc import Iterable

from ..usage.record import Ending

MAX_CLASSES = 256  # request classes with counters, including those of earlier configurations
_ENDING_NAMES = {Ending.SERVED: "served", Ending.REFUSED: "refused", Ending.FAILED: "failed"}


class RequestCounters:
    """Holds counters that only increase; `lines` takes the gauges as arguments."""

    def __init__(self, classes: Iterable[bytes]) -> None:
        self.attempts = 0
        self.reloads_ok = 0
        self.reloads_failed = 0
        self._ended: dict[bytes, dict[Ending, int]] = {}
        self.set_classes(classes)

    def set_classes(self, classes: Iterable[bytes]) -> None:
        """Adds counters for these request classes; removed ones keep theirs, up to `MAX_CLASSES` in all."""
        configured = list(dict.fromkeys(classes))
        for name in configured:
            self._ended.setdefault(name, dict.fromkeys(_ENDING_NAMES, 0))
        removed = [name for name in self._ended if name not in configured]
        excess = max(0, len(self._ended) - MAX_CLASSES)
        for name in removed[:excess]:
            del self._ended[name]

    def count_ended(self, name: bytes, ending: Ending) -> None:
        """Counts the final answer of a request of class `name`; other endings are not counted."""
        counts = self._ended.get(name)
        if counts is not None and ending in counts:
            counts[ending] += 1

    def lines(self, in_flight: int, known: int, excluded: int) -> str:
        """Returns all counters as `name=value` lines, including those that are 0.

        `in_flight` is the number of open requests, `known` the number of backends, and `excluded` the number
        of those that get no new attempts.
        """
        lines = [
            f"router.{word}.{name.decode()}={counts[ending]}"
            for ending, word in _ENDING_NAMES.items()
            for name, counts in self._ended.items()
        ]
        figures = {
            "attempts": self.attempts,
            "in_flight": in_flight,
            "backends_known": known,
            "backends_excluded": excluded,
            "reloads_ok": self.reloads_ok,
            "reloads_failed": self.reloads_failed,
        }
        lines += [f"router.{name}={value}" for name, value in figures.items()]
        return "".join(f"{line}\n" for line in lines)
