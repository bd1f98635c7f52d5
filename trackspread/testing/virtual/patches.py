"""Patches that stand for as long as a block lasts: how hand-made mutants are planted, in all their homes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any


@contextmanager
def held(patches: Iterable[Any]) -> Iterator[None]:
    """All of them, until the block ends."""
    with ExitStack() as stack:
        for each in patches:
            stack.enter_context(each)
        yield
