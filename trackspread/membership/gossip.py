"""Which words go with the next datagram: the newest first, each a bounded number of times.

May know: words, how many members there are. May not know: who hears them, what they mean.
"""

from __future__ import annotations

from math import ceil, log10

from .terms import GossipUpdate

TIMES = 4  # times the decimal logarithm of the fleet that a word is told by each who has it (SWIM's lambda)
WITH_ONE = 12  # words that go with one datagram: 12 of some 60 bytes beside the rest are under 1,200


class GossipQueue:
    """Words still to be told, one for each member: the greater takes the lesser's place."""

    def __init__(self) -> None:
        self._left: dict[str, tuple[int, GossipUpdate]] = {}  # by name: how often it was told

    def add(self, word: GossipUpdate) -> None:
        self._left[word.name] = 0, word

    def __len__(self) -> int:
        return len(self._left)

    def some(self, members: int) -> tuple[GossipUpdate, ...]:
        """Those told least often; what has been told often enough is dropped."""
        if not self._left:
            return ()
        enough = ceil(TIMES * log10(members + 1)) + 1
        chosen = sorted(self._left.values(), key=lambda each: each[0])[:WITH_ONE]
        for told, word in chosen:
            if told + 1 >= enough:
                del self._left[word.name]
            else:
                self._left[word.name] = told + 1, word
        return tuple(word for _, word in chosen)
