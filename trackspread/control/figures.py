"""What this process has done since it started, as lines that operators read.

May know: names of classes, plain numbers. May not know: sockets, requests, the decision module.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..usage.record import Ending

CLASSES_MOST = 256  # classes that have lines: several times what a deployment names, over many reloads
_NAMES = {Ending.SERVED: "served", Ending.REFUSED: "refused", Ending.FAILED: "failed"}


class Figures:
    """Counters that only grow, each counted at one place; the gauges are read when somebody asks."""

    def __init__(self, classes: Iterable[bytes]) -> None:
        self.attempts = 0
        self.reloads_ok = 0
        self.reloads_failed = 0
        self._ended: dict[bytes, dict[Ending, int]] = {}
        self.configured(classes)

    def configured(self, classes: Iterable[bytes]) -> None:
        """These classes have lines from now on; those that were dropped keep theirs while there is room."""
        names = list(dict.fromkeys(classes))
        for name in names:
            self._ended.setdefault(name, dict.fromkeys(_NAMES, 0))
        for name in [n for n in self._ended if n not in names][: max(0, len(self._ended) - CLASSES_MOST)]:
            del self._ended[name]

    def ended(self, name: bytes, ending: Ending) -> None:
        """One request's final answer; a client that has gone is counted nowhere."""
        if (counts := self._ended.get(name)) is not None and ending in counts:
            counts[ending] += 1

    def lines(self, in_flight: int, known: int, excluded: int) -> str:
        """All names, always: what has not happened reads 0."""
        lines = [
            f"router.{word}.{name.decode()}={counts[ending]}"
            for ending, word in _NAMES.items()
            for name, counts in self._ended.items()
        ]
        plain = {
            "attempts": self.attempts,
            "in_flight": in_flight,
            "backends_known": known,
            "backends_excluded": excluded,
            "reloads_ok": self.reloads_ok,
            "reloads_failed": self.reloads_failed,
        }
        return "".join(f"{line}\n" for line in [*lines, *(f"router.{k}={v}" for k, v in plain.items())])
