"""Checks a small model breadth first: every order of events up to a bound, each state once.

A state is a plain value that is copied by pickling (in this module only, never from a network); its digest
identifies it. A violation is reported with a shortest trace of events that leads to it. Nothing here depends
on what the states mean.
"""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Protocol, Self, TypeVar

DIGEST_BYTES = 16


class State(Protocol):
    """Defines what a world must provide."""

    def events(self) -> Iterable[str]:
        """Returns the names of all events that are possible next, in a fixed order."""

    def apply(self, event: str) -> None:
        """Applies an event."""

    def violation(self) -> str:
        """Returns the invariant that does not hold, or an empty text."""

    def normalized(self) -> Self:
        """Returns the state with everything that makes no difference in a canonical order."""


StateT = TypeVar("StateT", bound=State)


@dataclass(frozen=True, slots=True)
class Exploration:
    """Holds the result of an exploration.

    `trace` has the events up to the violation and is empty if there is none. `is_complete` says that no state
    within the depth was left out.
    """

    states: int
    depth: int
    is_complete: bool
    violation: str
    trace: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _Step:
    """Holds how a state was reached first: the digest of the source state, and the event."""

    source: bytes
    event: str


def explore(start: Callable[[], StateT], depth: int, max_states: int) -> Exploration:
    """Explores all orders of at most `depth` events from `start`, up to `max_states` states."""
    first = _pickled(start())
    reached: dict[bytes, _Step] = {_digest(first): _Step(b"", "")}
    layer: deque[tuple[bytes, bytes]] = deque([(_digest(first), first)])  # digests and pickled states
    for level in range(depth):
        next_layer: deque[tuple[bytes, bytes]] = deque()
        while layer:
            digest, pickled = layer.popleft()
            for event in list(pickle.loads(pickled).events()):
                state: StateT = pickle.loads(pickled)
                state.apply(event)
                next_pickled = _pickled(state)
                next_digest = _digest(next_pickled)
                if next_digest in reached:
                    continue
                reached[next_digest] = _Step(digest, event)
                if violation := state.violation():
                    trace = _trace(reached, next_digest)
                    return Exploration(len(reached), level + 1, False, violation, trace)
                if len(reached) >= max_states:
                    return Exploration(len(reached), level, False, "", ())
                next_layer.append((next_digest, next_pickled))
        if not next_layer:
            return Exploration(len(reached), level, True, "", ())
        layer = next_layer
    return Exploration(len(reached), depth, True, "", ())


def _pickled(state: State) -> bytes:
    return pickle.dumps(state.normalized(), protocol=pickle.HIGHEST_PROTOCOL)


def _digest(pickled: bytes) -> bytes:
    return blake2b(pickled, digest_size=DIGEST_BYTES).digest()


def _trace(reached: dict[bytes, _Step], digest: bytes) -> tuple[str, ...]:
    events = []
    while reached[digest].event:
        events.append(reached[digest].event)
        digest = reached[digest].source
    return tuple(reversed(events))
