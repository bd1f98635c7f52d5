"""What ends with a gateway that is told to stop: everything taken is answered before it may be killed."""

from __future__ import annotations

import asyncio

import pytest

from trackspread.fronts import connections

from .fakes import call, run, served, soon, until, world

SECOND = 1_000_000_000
KILLED = 0.7  # s over the longest deadline after SIGTERM from which on SIGKILL may come


@pytest.mark.parametrize("kept", ["behind another", "held back"])
def test_request_taken_late_in_the_drain_is_answered_before_the_gateway_may_be_killed(
    kept: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Seen on the bench: taken 0.78 s after SIGTERM, on a connection that was kept, sent to a backend that
    hung for all of its time, and unanswered when the process was killed."""
    monkeypatch.setattr(connections, "QUIET", 0.01)

    async def test() -> None:
        async with world() as w:
            longest = max(rule.deadline for rule in w.node.roster.rules)
            client = await w.client()
            client.send(call(number=1))
            first, _ = await w.backend.command()
            stopped = w.node.now()
            stopping = asyncio.create_task(w.node.stop())
            await until(lambda: w.node.clients.closing)
            # As if the drain had lasted until all but 0.3 s of what is left until SIGKILL.
            w.node.now.base += longest + int((KILLED - 0.4) * SECOND)
            number = 2 if kept == "behind another" else 2 * w.node.clients.bounds.pipeline
            client.send(b"".join(call(number=2 + n) for n in range(number - 1)))
            await until(lambda: len(w.node.requests) > 1)
            first.send(served(b"one"))
            assert await client.next() == b"one"
            for _ in range(number - 1):
                assert str(await client.next()).split()[0] in ("ERR", "BUSY")
                assert w.node.now() <= stopped + longest + int(KILLED * SECOND)
            assert await client.next() is None
            await soon(stopping)
            assert not w.node.requests and not w.node.clients.count()

    run(test)
