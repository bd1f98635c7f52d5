"""A breadth-first explorer: every order of happenings in a small world, up to a bound, each state once.

A state is a plain value that can be copied by pickling (here only, never from a network); its digest tells
it from others. A violation comes as the shortest trace of happenings that leads to it. May not know: what the
states mean.
"""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Protocol, Self, TypeVar


class State(Protocol):
    """What a world must offer."""

    def happenings(self) -> Iterable[str]:
        """Names of all that may happen next, in a fixed order."""

    def happen(self, name: str) -> None: ...

    def wrong(self) -> str:
        """What must never be, or an empty text."""

    def settled(self) -> Self:
        """Itself, with what makes no difference put in order."""


S = TypeVar("S", bound=State)


@dataclass(frozen=True, slots=True)
class Found:
    """`trace` is empty where nothing was wrong. `whole`: no state within the depth was left out."""

    states: int
    depth: int
    whole: bool
    wrong: str
    trace: tuple[str, ...]


def explore(start: Callable[[], S], depth: int, most: int) -> Found:
    """From `start`, all orders of at most `depth` happenings, at most `most` states."""
    first = _packed(start())
    came: dict[bytes, tuple[bytes, str]] = {_digest(first): (b"", "")}
    layer: deque[tuple[bytes, bytes]] = deque([(_digest(first), first)])
    for level in range(depth):
        following: deque[tuple[bytes, bytes]] = deque()
        while layer:
            digest, packed = layer.popleft()
            for name in list(pickle.loads(packed).happenings()):
                state: S = pickle.loads(packed)
                state.happen(name)
                after = _packed(state)
                key = _digest(after)
                if key in came:
                    continue
                came[key] = digest, name
                if wrong := state.wrong():
                    return Found(len(came), level + 1, False, wrong, _trace(came, key))
                if len(came) >= most:
                    return Found(len(came), level, False, "", ())
                following.append((key, after))
        if not following:
            return Found(len(came), level, True, "", ())
        layer = following
    return Found(len(came), depth, True, "", ())


def _packed(state: State) -> bytes:
    return pickle.dumps(state.settled(), protocol=pickle.HIGHEST_PROTOCOL)


def _digest(packed: bytes) -> bytes:
    return blake2b(packed, digest_size=16).digest()


def _trace(came: dict[bytes, tuple[bytes, str]], key: bytes) -> tuple[str, ...]:
    names = []
    while came[key][1]:
        key, name = came[key]
        names.append(name)
    return tuple(reversed(names))
