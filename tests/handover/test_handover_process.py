"""A new version takes over from an old one, both real processes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
from contextlib import suppress
from pathlib import Path

import pytest

from trackspread.handover import wire
from trackspread.handover.wire import Kind
from trackspread.node.membership_part import READY_TIMEOUT_S

from ..fakes import (
    LOCAL,
    Backend,
    call,
    host,
    listening,
    listing,
    run,
    served,
    soon,
)
from ..control.test_control import CHECK, STATS, exchange, counters, status
from .test_handover import home

pytestmark = pytest.mark.processes


def test_a_new_process_takes_over_with_no_connection_closed_and_nothing_lost(tmp_path: Path) -> None:
    async def test() -> None:
        async with home(tmp_path) as h:
            old, door = await h.start()
            resting, midway, busy, half = [await h.client() for _ in range(4)]
            for client in (resting, midway, busy, half):
                client.send(b"*1\r\n$4\r\nPING\r\n")
                assert await client.next() == b"PONG"
            busy.send(call("charge", 1, body=b"b"))
            owed, _ = await h.backend.command()
            busy.send(call(number=2))  # pipelined behind a request that the old process holds
            second, _ = await h.backend.command()
            split = call(number=3)
            half.send(split[:40])  # written in halves across the change
            await asyncio.sleep(0.1)
            new, new_door = await h.start()
            assert await status(door, CHECK) == 503
            resting.send(call(number=4))
            busy.send(call(number=6))  # goes on to the new process, once the old one owes nothing there
            half.send(split[40:])
            fresh = await h.client()
            fresh.send(call(number=5))
            for _ in range(3):
                connection, words = await h.backend.command()
                assert words[2] in (b"%016x" % n for n in (3, 4, 5))
                connection.send(served(words[2]))
            assert [await c.next() for c in (resting, half, fresh)] == [b"%016x" % n for n in (4, 3, 5)]
            # An id that is open at the old process is open at the new one.
            midway.send(call("charge", 1, body=b"b"))
            assert "is open" in str(await midway.next())
            assert (await counters(new_door))["served.look up"] == 3
            second.send(served(b"two"))
            owed.send(served(b"one"))
            assert [await busy.next(), await busy.next()] == [b"one", b"two"]
            connection, words = await h.backend.command()
            assert words[2] == b"%016x" % 6
            connection.send(served(b"six"))
            assert await busy.next() == b"six"
            assert await soon(old.wait()) == 0  # left by itself, as nothing is owed there any more
            assert (await counters(new_door))["served.look up"] == 4 and new.returncode is None

    run(test)


def test_a_new_process_takes_new_connections_at_once_though_the_fleet_has_no_part_for_it(
    tmp_path: Path,
) -> None:
    """Seen with a view of the fleet: the old process takes nothing any more, and the new one waited for its
    part with the clients' door shut; requests on new connections had no answer in their time."""

    async def test() -> None:
        async with home(tmp_path) as h:
            with socket.socket() as free, socket.socket() as other:
                free.bind((LOCAL, 0))
                other.bind((LOCAL, 0))  # takes nothing: no majority of the seeds is ever heard
                listen, silent = ("{}:{}".format(*each.getsockname()) for each in (free, other))
                free.close()
                h.own.write_text(
                    f'[fleet]\nname = "f"\nlisten = "{listen}"\nseeds = ["{listen}", "{silent}"]\n'
                )
                _, door = await h.start()
                starting = asyncio.create_task(h.start())
                with suppress(ConnectionError):  # its door has closed: it takes nothing any more
                    while await status(door, CHECK) == 200:
                        await asyncio.sleep(0.001)
                began = asyncio.get_running_loop().time()
                fresh = await h.client()
                fresh.send(b"*1\r\n$4\r\nPING\r\n")
                assert await fresh.next() == b"PONG"
                assert asyncio.get_running_loop().time() - began < READY_TIMEOUT_S / 2
                await starting

    run(test)


def test_a_newcomer_that_dies_or_hangs_before_its_yes_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with home(tmp_path) as h:
            old, door = await h.start()
            (name,) = (each for each in os.listdir(h.folder) if each.startswith("trackspread-"))
            client = await h.client()
            for what in ("hello alone", "asks and dies", "junk", "asks and hangs"):
                strange = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
                strange.connect(str(h.folder / name))
                strange.send(b"junk" if what == "junk" else wire.pack(Kind.HELLO, b"n0"))
                if what.startswith("asks"):
                    strange.send(wire.pack(Kind.STATE_REQUEST))
                    await asyncio.sleep(0.2)
                if what != "asks and hangs":
                    strange.close()
                client.send(call(number=1))
                connection, _ = await h.backend.command()  # at once, or after the wait for one that hangs
                connection.send(served(b"v"))
                assert await client.next() == b"v", what
                strange.close()
            while await status(door, CHECK) != 200:
                await asyncio.sleep(0.01)
            # And then a real one still takes over, also from a process that is told to stop.
            owing = await h.client()
            owing.send(call(number=2))
            connection, _ = await h.backend.command()
            old.send_signal(signal.SIGTERM)
            _, new_door = await h.start()
            connection.send(served(b"v"))
            assert await owing.next() == b"v"
            client.send(call(number=3))
            connection, _ = await h.backend.command()
            connection.send(served(b"v"))
            assert await client.next() == b"v"
            assert await soon(old.wait()) == 0
            assert (await counters(new_door))["served.look up"] == 1

    run(test)


def test_leftovers_of_a_killed_process_mean_a_cold_start(tmp_path: Path) -> None:
    async def test() -> None:
        async with home(tmp_path) as h:
            old, _ = await h.start()
            old.kill()
            await old.wait()
            waiting = await h.client()  # in the queue of the platform's socket meanwhile
            waiting.send(call(number=1))
            await h.start()
            connection, _ = await h.backend.command()
            connection.send(served(b"v"))
            assert await waiting.next() == b"v"
            third, _ = await h.start()  # a second upgrade at once
            waiting.send(call(number=2))
            connection, _ = await h.backend.command()
            connection.send(served(b"v"))
            assert await waiting.next() == b"v" and third.returncode is None

    run(test)


def test_a_signal_and_a_list_that_changes_in_the_middle_of_an_upgrade_reach_both(tmp_path: Path) -> None:
    async def test() -> None:
        second = Backend()
        async with listening(second), home(tmp_path) as h:
            old, _ = await h.start()
            client, busy = await h.client(), await h.client()
            busy.send(call("charge", 1, body=b"b"))
            owed, _ = await h.backend.command()
            raw = json.loads(h.path.read_text())
            classes = raw["settings"]["classes"]
            starting = asyncio.get_running_loop().create_task(h.start())
            await asyncio.sleep(0.1)  # the new process reads its file somewhere in here, or at its signal
            raw["settings"]["classes"] = [{**classes[1], "name": "fresh!"}, *classes[::-1]]
            h.path.write_text(json.dumps(raw))
            old.send_signal(signal.SIGHUP)
            changed = listing(2, host("s-2", second.port), host("s-1", h.backend.port, "terminating"))
            h.agent.first = changed
            h.agent.tell(changed)
            new, new_door = await starting
            new.send_signal(signal.SIGHUP)
            while (await counters(new_door))["reloads_ok"] < 1:
                await asyncio.sleep(0.01)
            assert (await counters(new_door))["backends_excluded"] == 1
            client.send(call("submit", 3, body=b"b").replace(b"c=submit", b"c=fresh!"))  # of the same length
            connection, words = await second.command()
            assert words[2] == b"%016x" % 3
            connection.send(served(b"v"))
            assert await client.next() == b"v"
            # What the old process holds goes on by the class that it came with, whatever its place is now.
            owed.abort()
            assert "failed" in str(await busy.next())
            assert "router.served.fresh!=1" in (await exchange(new_door, STATS)).decode()

    run(test)
