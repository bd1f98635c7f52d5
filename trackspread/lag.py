"""A turn for the sockets before a timer counts.

May know: the loop. May not know: what waits for what.

Where the process lagged (its core was another's, its machine stood still) timers that came due meanwhile may
run before the loop turns to its sockets, and what a socket brings takes further turns until it is taken in:
what had come in time, or was up in time, would be told as late. A timer that gives something up comes here
first, and looks again afterwards whether there still is anything to give up.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVarTuple

Args = TypeVarTuple("Args")

# Of the loop without a wait: in one of them it turns to its sockets, what comes of that takes two more (a
# future that is done wakes its task, the task goes on), and one is spare.
TURNS = 4


def after_sockets(
    loop: asyncio.AbstractEventLoop, give_up: Callable[[*Args], object], *args: *Args, turns: int = TURNS
) -> None:
    """`give_up` is called once the loop has turned to its sockets and done what came of it: at once, unless
    it lags."""
    if turns:
        loop.call_soon(lambda: after_sockets(loop, give_up, *args, turns=turns - 1))
    else:
        give_up(*args)
