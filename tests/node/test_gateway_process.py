"""Tests the program as the platform runs it: its configuration, its start and its signals."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from trackspread.config.addresses import ConfigError
from trackspread.config.platform import flatten, load, needs_restart, parse, reload
from trackspread.fronts.connections import DRAIN_QUIET_S

from ..fakes import (
    LOCAL,
    Agent,
    Backend,
    Connection,
    call,
    host,
    listening,
    listing,
    nested_settings,
    raw_config,
    run,
    served,
    soon,
    until,
)

pytestmark = pytest.mark.processes

COMMAND = (sys.executable, "-m", "trackspread")


class Process:
    """Holds a gateway's process, its port, its backend and its configuration file."""

    def __init__(self, process: asyncio.subprocess.Process, port: int, backend: Backend, path: Path) -> None:
        self.process, self.port, self.backend, self.path = process, port, backend, path

    async def logged(self, text: bytes) -> None:
        """Reads the log up to a line that contains `text`."""
        assert self.process.stderr is not None
        while text not in (line := await soon(self.process.stderr.readline())):
            assert line, "the process ended before it logged the text"

    async def client(self) -> Connection:
        return Connection(*await soon(asyncio.open_connection(LOCAL, self.port)))


@asynccontextmanager
async def started(
    folder: Path, agent: Agent, config: dict[str, Any] | None = None, operator: str = ""
) -> AsyncIterator[tuple[asyncio.subprocess.Process, Path]]:
    """Starts the program as `run` does; yields the process and the path of its configuration.

    `operator` is the text of the operator's file.
    """
    path, own = folder / "config.json", folder / "own.toml"
    own.write_text(operator)
    path.write_text(json.dumps(config or raw_config(agent.port)))
    process = await asyncio.create_subprocess_exec(
        *COMMAND,
        "run",
        "--file",
        str(own),
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "ROUTER_CONFIG": str(path), "ROUTER_DISCOVERY": f"{LOCAL}:{agent.port}"},
    )
    try:
        yield process, path
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


@asynccontextmanager
async def running(folder: Path) -> AsyncIterator[Process]:
    agent, backend = Agent(), Backend()
    async with listening(agent), listening(backend):
        agent.first = listing(1, host("s-1", backend.port))
        async with started(folder, agent) as (process, path):
            assert process.stderr is not None
            while b"listening on" not in (line := await soon(process.stderr.readline())):
                assert line, "the process ended before it listened"
            yield Process(process, int(line.rsplit(b":", 1)[1]), backend, path)


def test_sigterm_before_the_first_list_exits_cleanly(tmp_path: Path) -> None:
    """Guards against a start that does not end at SIGTERM, or ends with a traceback."""

    async def test() -> None:
        agent = Agent()
        async with listening(agent), started(tmp_path, agent) as (process, _):
            await soon(agent.asked.get())  # it sends no list
            process.send_signal(signal.SIGTERM)
            assert await soon(process.wait()) == 0
            assert process.stderr is not None and b"Traceback" not in await process.stderr.read()

    run(test)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_second_signal_during_the_drain_loses_no_answer(tmp_path: Path, number: signal.Signals) -> None:
    """Guards against answers that are lost by another signal.

    It is a second SIGTERM, or SIGHUP with a file that moves discovery and removes the open request's class.
    """

    async def test() -> None:
        async with running(tmp_path) as p:
            client, late = await p.client(), await p.client()
            client.send(call(number=1))
            first, _ = await p.backend.command()
            p.process.send_signal(signal.SIGTERM)
            await p.logged(b"stopping")
            raw = json.loads(p.path.read_text())
            raw["discovery"] = f"{LOCAL}:1"
            raw["settings"]["classes"] = raw["settings"]["classes"][1:]
            p.path.write_text(json.dumps(raw))
            p.process.send_signal(number)
            if number is signal.SIGHUP:
                await p.logged(b"classes changed")
            late.send(call("charge", 2, body=b"B"))
            second, _ = await p.backend.command()
            second.send(served(b"two"))
            first.send(served(b"one"))
            assert [await client.next(), await late.next()] == [b"one", b"two"]
            assert [await client.next(), await late.next()] == [None, None]
            assert await soon(p.process.wait()) == 0

    run(test)


def test_sigterm_answers_accepted_and_waiting_requests_then_exits_0(tmp_path: Path) -> None:
    """Guards against requests that are lost while they wait in a socket or in the accept queue at SIGTERM."""

    async def test() -> None:
        async with running(tmp_path) as p:
            taken, idle = await p.client(), await p.client()
            idle.send(b"*1\r\n$4\r\nPING\r\n")
            assert await idle.next() == b"PONG"
            taken.send(call(number=1))
            first, _ = await p.backend.command()
            # The process is stopped, so that the requests wait in a socket and in the accept queue when it
            # receives SIGTERM.
            p.process.send_signal(signal.SIGSTOP)
            late = await p.client()
            late.send(call(number=2))
            idle.send(call(number=3))
            await soon(asyncio.gather(late.writer.drain(), idle.writer.drain()))
            p.process.send_signal(signal.SIGTERM)
            p.process.send_signal(signal.SIGCONT)
            held: dict[bytes, Connection] = {}
            for _ in range(2):
                connection, arguments = await p.backend.command()
                held[arguments[2]] = connection
            held[b"%016x" % 3].send(served(b"3"))
            held[b"%016x" % 2].send(served(b"2"))
            first.send(served(b"1"))
            assert [await client.next() for client in (taken, late, idle)] == [b"1", b"2", b"3"]
            assert [await client.next() for client in (taken, late, idle)] == [None, None, None]
            assert await soon(p.process.wait()) == 0

    run(test)


def test_lagging_gateway_accepts_queued_connections_while_it_stops(tmp_path: Path) -> None:
    """Guards against a listener that is closed by time alone while connections wait in its accept queue."""

    async def test() -> None:
        async with running(tmp_path) as p:
            p.process.send_signal(signal.SIGTERM)
            assert p.process.stderr is not None
            while b"stopping" not in (line := await soon(p.process.stderr.readline())):
                assert line
            p.process.send_signal(signal.SIGSTOP)
            late = await p.client()
            late.send(call())
            await soon(late.writer.drain())
            await asyncio.sleep(
                DRAIN_QUIET_S + 0.1
            )  # the time after which the listener closes passes meanwhile
            p.process.send_signal(signal.SIGCONT)
            connection, _ = await p.backend.command()
            connection.send(served(b"v"))
            assert await late.next() == b"v"
            assert await soon(p.process.wait()) == 0

    run(test)


def test_stopping_gateway_closes_its_listener_despite_new_connections(tmp_path: Path) -> None:
    """Guards against a stop that never ends because clients continue to connect."""

    async def test() -> None:
        async with running(tmp_path) as p:
            p.process.send_signal(signal.SIGTERM)
            await p.logged(b"stopping")

            async def connect_repeatedly() -> None:
                while True:  # ends when the listener is closed; every connection stays open and sends nothing
                    idle.append(await p.client())
                    await asyncio.sleep(0.02)

            idle: list[Connection] = []
            with pytest.raises(ConnectionRefusedError):
                await soon(connect_repeatedly())
            assert len(idle) > 1
            assert await soon(p.process.wait()) == 0

    run(test)


def test_sighup_moves_discovery_and_ignores_a_bad_file(tmp_path: Path) -> None:
    """Guards against a reload that affects the endpoint list, open requests or connections."""

    async def test() -> None:
        agent, second = Agent(), Backend()
        async with listening(agent), listening(second), running(tmp_path) as p:
            agent.first = listing(2, host("s-2", second.port), whole=False)
            client = await p.client()
            client.send(call(number=1))
            before, _ = await p.backend.command()
            complete = json.dumps(raw_config(agent.port) | {"name": "other"})
            for bad in (complete[:-9], json.dumps({"discovery": f"{LOCAL}:{agent.port}"})):
                p.path.write_text(bad)
                p.process.send_signal(signal.SIGHUP)
                await p.logged(b"configuration: reload rejected")
            assert agent.asked.empty()
            p.path.write_text(complete)
            for _ in range(3):
                p.process.send_signal(signal.SIGHUP)
            await p.logged(b"a restart is needed for name")
            assert b"index=1 " in await soon(agent.asked.get())
            before.send(served(b"one"))
            assert await client.next() == b"one"
            # The endpoint list in use is kept, and the new agent's updates are applied to it.
            agent.tell(listing(3, host("s-1", p.backend.port, "terminating"), whole=False))
            await until(lambda: p.backend.ended == 1)  # draining closes its idle connection
            client.send(call(number=2))
            connection, _ = await second.command()
            connection.send(served(b"two"))
            assert await client.next() == b"two"
            p.process.send_signal(signal.SIGTERM)
            await p.logged(b"stopping")
            for _ in range(3):
                p.process.send_signal(signal.SIGHUP)
            assert await soon(p.process.wait()) == 0

    run(test)


def test_sighup_reloads_the_operators_file(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path) as p:
            own = tmp_path / "own.toml"
            own.write_text("[clients]\npipeline = 'many'")
            p.process.send_signal(signal.SIGHUP)
            await p.logged(b"own.toml: clients.pipeline: must be int, got 'many'")
            own.write_text("[backends]\ngrace_part = 0.5\n[clients]\npipeline = 1")
            p.process.send_signal(signal.SIGHUP)
            await p.logged(b"a restart is needed for backends")
            client = await p.client()
            client.send(call(number=1) + call(number=2))
            connection, _ = await p.backend.command()
            other = await p.client()
            other.send(call(number=3))
            second, arguments = await p.backend.command()
            assert arguments[2] == b"%016x" % 3  # the first client's second call is not read yet
            for each in (connection, second):
                each.send(served(b"v"))
            assert await client.next() == b"v" == await other.next()

    run(test)


def test_gateway_serves_again_after_a_kill_and_restart(tmp_path: Path) -> None:
    async def test() -> None:
        for number in (1, 2):
            async with running(tmp_path) as p:
                client = await p.client()
                client.send(call(number=number))
                connection, arguments = await p.backend.command()
                assert arguments[2] == b"%016x" % number
                connection.send(served(b"v"))
                assert await client.next() == b"v"

    run(test)


def _without(key: str) -> dict[str, Any]:
    raw = raw_config(1)
    del raw[key]
    return raw


@pytest.mark.parametrize(
    ("raw", "text"),
    [
        (None, "ROUTER_CONFIG"),
        ("no json", "ROUTER_CONFIG"),
        ([], "must name a file with a JSON object"),
        (_without("settings"), "settings"),
        (_without("listen"), "listen"),
        (raw_config(1) | {"seed": "zz"}, "seed"),
        (raw_config(1) | {"peers": ["nowhere"]}, "peers"),
        (raw_config(1) | {"settings": nested_settings(zones=None)}, "settings.zones"),
        (raw_config(1) | {"settings": nested_settings(limits__maxAttempts=0)}, "limits.maxAttempts"),
    ],
)
def test_bad_configuration_ends_with_one_line_and_exit_2(tmp_path: Path, raw: Any, text: str) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        if raw is not None:
            path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
        process = await asyncio.create_subprocess_exec(
            *COMMAND,
            env={**os.environ, "ROUTER_CONFIG": str(path)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await soon(process.communicate())
        assert process.returncode == 2 and out == b""
        (line,) = err.decode().splitlines()
        assert line.startswith("trackspread: ") and text in line

    run(test)


def test_address_in_use_is_one_line_and_exit_2(tmp_path: Path) -> None:
    async def test() -> None:
        agent = Agent()
        agent.first = listing(1, host("s-1", 1))
        async with listening(agent):
            path = tmp_path / "config.json"
            path.write_text(json.dumps(raw_config(agent.port) | {"listen": f"{LOCAL}:{agent.port}"}))
            process = await asyncio.create_subprocess_exec(
                *COMMAND, env={**os.environ, "ROUTER_CONFIG": str(path)}, stderr=asyncio.subprocess.PIPE
            )
            _, err = await soon(process.communicate())
            assert process.returncode == 2
            assert err.decode().splitlines()[-1].startswith("trackspread: cannot listen: ")
            assert b"Traceback" not in err

    run(test)


def test_environment_takes_precedence_over_the_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config(1)))
    config = load(
        {
            "ROUTER_CONFIG": str(path),
            "ROUTER_NAME": "n7",
            "ROUTER_LISTEN": "127.0.0.9:1",
            "ROUTER_DISCOVERY": "127.0.0.8:2",
        }
    )
    assert (config.name, config.listen, config.discovery) == ("n7", ("127.0.0.9", 1), ("127.0.0.8", 2))
    assert config.seed == 0x8C1F30D27A5BE964
    with pytest.raises(ConfigError):
        load({})


def test_reload_takes_discoverys_address_from_the_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config(1)))
    environment = {"ROUTER_CONFIG": str(path), "ROUTER_DISCOVERY": "127.0.0.8:2", "ROUTER_NAME": "n7"}
    old = load(environment)
    path.write_text(json.dumps(raw_config(3, listing(4), zones=["c"]) | {"seed": "1", "name": "ignored"}))
    new = reload(environment)
    assert new.discovery == (LOCAL, 3)
    assert needs_restart(old, new) == ["zones"]
    assert needs_restart(old, old) == []


def test_nested_settings_flatten_to_the_start_messages_lines() -> None:
    nested = {"a": [{"name": "look up, twice", "on": True}], "b": {"c": [1, 2.5], "d": []}, "e": 10**12}
    assert list(flatten(nested)) == [
        "a.count=1",
        "a.0.name=look_up__twice",
        "a.0.on=true",
        "b.c=1,2.5",
        "b.d=",
        "e=1000000000000",
    ]


def test_wire_names_are_the_settings_names_unchanged() -> None:
    config = parse(raw_config(1), {})
    assert config.classes == (b"look up", b"submit", b"charge") and config.plans == (b"team",)
    assert config.settings.classes[0].name == "look_up"
