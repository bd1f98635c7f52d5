"""What ends with an attempt: its one end is told once, whatever else falls into the same turn of the loop."""

from __future__ import annotations

import pytest

from trackspread.decide.interface import Outcome

from .fakes import run
from .test_net_backends import bench


@pytest.mark.parametrize("how", ["time-out", "cancel", "withdrawn"])
def test_an_end_put_off_to_the_next_turn_is_not_told_behind_another(how: str) -> None:
    """Of an unknown backend, or where descriptors are short, an attempt ends in the loop's next turn."""

    async def test() -> None:
        async with bench(port=1) as b:
            attempt = b.start(1, backend=99)  # its end is on its way
            ends = {"time-out": b.pools.expire, "cancel": b.pools.cancel, "withdrawn": b.pools.withdraw}
            ends[how](attempt)
            first = await b.end()
            b.start(2, backend=99)
            assert (await b.end())[:2] == (2, Outcome.CONNECT_FAILED)
            assert first[0] == 1 and b.ends.empty()

    run(test)
