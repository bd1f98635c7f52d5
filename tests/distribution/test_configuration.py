"""Tests the distributed configuration: the operator's file, the command, and a gateway that subscribes."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from trackspread.cli import main
from trackspread.config.addresses import ConfigError
from trackspread.config.operator import DEFAULTS, parse
from trackspread.distribution.host import ReplicaHost
from trackspread.distribution.settings import ReplicaSettings
from trackspread.distribution.wire import Wire
from trackspread.membership.wire import Keys
from trackspread.node.configuration_part import ConfigurationPart
from trackspread.testing.standins.loopback import Ports

from ..fakes import LOCAL, run, until, world

FLEET = "[fleet]\nname = 'f'\nlisten = '127.0.0.1:7400'\nseeds = ['127.0.0.1:7400']\n"
CONTROL = "[[fleet.control]]\nname = 'c'\nregion = 'r'\nzone = 'z'\naddress = '127.0.0.1:3'\n"
KEY = b"a key of many bytes"


@pytest.mark.parametrize(
    ("text", "line"),
    [
        (
            "listen = '127.0.0.1:1'",
            "configuration.replicas: must be addresses when configuration.listen is set, got nothing",
        ),
        (
            "replicas = ['here:1']",
            "configuration.replicas[0]: must be an IP address and a port, such as 127.0.0.1:7600, because "
            "names are not resolved, got 'here:1'",
        ),
        (
            "replicas = ['127.0.0.1:0']",
            "configuration.replicas[0]: must have a port from 1 to 65535, got port 0",
        ),
        (
            "replicas = ['0.0.0.0:1']",
            "configuration.replicas[0]: must be an address that others can reach, got '0.0.0.0:1'",
        ),
        (
            "replicas = ['127.0.0.1:1', '127.0.0.1:1']",
            "configuration.replicas: must not contain a value twice",
        ),
        (
            "replicas = ['127.0.0.1:1']\nnear = ['127.0.0.1:2']",
            "configuration.near[0]: must be one of configuration.replicas, got '127.0.0.1:2'",
        ),
        (
            f"replicas = ['127.0.0.1:1', '127.0.0.1:2']\n{CONTROL}",
            "configuration.replicas: must have one entry for each of fleet.control (1), in its order, got 2",
        ),
        (
            "replicas = ['127.0.0.1:1']\nservices = ['a', 'a']",
            "configuration.services: must not contain a value twice",
        ),
        ("replicas = ['127.0.0.1:1']\nservice = 3", "configuration.service: unknown key; did"),
    ],
)
def test_invalid_file_gives_one_line_with_file_and_key(text: str, line: str) -> None:
    fleet = FLEET.replace("seeds = ['127.0.0.1:7400']\n", "") if "control" in text else FLEET
    with pytest.raises(ConfigError) as caught:
        parse(f"{fleet}[configuration]\n{text}", "own.toml")
    assert str(caught.value).startswith(f"own.toml: {line}") and "\n" not in str(caught.value)


def test_configuration_needs_fleet_name_and_is_off_without_replicas() -> None:
    with pytest.raises(
        ConfigError,
        match=r"own.toml: fleet.name: must be a name when configuration.replicas is set, got nothing",
    ):
        parse("[configuration]\nreplicas = ['127.0.0.1:1']", "own.toml")
    assert not DEFAULTS.configuration.listen

    async def test() -> None:
        async with world() as w:
            assert w.node.parts.configuration is None

    run(test)


@asynccontextmanager
async def running_replica() -> AsyncIterator[ReplicaHost]:
    """Runs the only replica, which leads."""
    address = Ports().udp()
    settings = ReplicaSettings(0, time.time_ns() // 1_000_000, (address,))
    host = ReplicaHost(settings, address, Wire("f", Keys(KEY)), 1, time.monotonic_ns, lambda: (1, 0))
    await host.start()
    try:
        yield host
    finally:
        host.close()


def write_operators_file(folder: Path, host: ReplicaHost) -> Path:
    """Writes the file of a gateway that subscribes, and returns its path."""
    (folder / "key").write_bytes(KEY)
    ports, path = Ports(), folder / "own.toml"
    fleet = "{}:{}".format(*ports.udp())
    path.write_text(
        f"[fleet]\nname = 'f'\nlisten = '{fleet}'\nseeds = ['{fleet}']\nkey = '{folder / 'key'}'\n"
        f"[configuration]\nreplicas = ['{'{}:{}'.format(*host.address)}']\n"
        f"listen = '{'{}:{}'.format(*ports.udp())}'\nservices = ['rating', 'other']\n"
    )
    return path


def test_change_is_put_applied_by_a_gateway_and_shown(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def command(*arguments: str) -> tuple[int, str, str]:
        own = str(tmp_path / "own.toml")
        status = await asyncio.to_thread(main, ["configuration", *arguments, "--file", own])
        return status, *capsys.readouterr()

    async def test() -> None:
        async with running_replica() as host:
            operator = parse(write_operators_file(tmp_path, host).read_text(), "own.toml")
            status, out, _ = await command("show")
            assert (status, "establishing" in out) == (1, True)
            assert await command("begin") == (0, "history 1\n", "")
            assert await command("put", "rating", "route-1", "a=1") == (0, "version 1.1.0.2\n", "")
            assert await command("put", "unwanted", "route-2", "b") == (0, "version 1.1.0.3\n", "")
            status, out, _ = await command("show", "--key", "rating/route-1")
            assert status == 0 and "leader" in out and "rating/route-1 = 'a=1', since version 1.1.0.2" in out
            async with world(operator) as w:
                configuration = w.node.parts.configuration
                assert isinstance(configuration, ConfigurationPart) and configuration.host is not None
                await until(
                    lambda: configuration.host is not None and configuration.host.core.version.sequence == 3
                )
                assert configuration.host.core.value("rating", "route-1") == b"a=1"
                assert configuration.host.core.value("unwanted", "route-2") is None
                status, text = configuration.answer()
                report = json.loads(text)
                assert (status, report["sequence"], report["keys"], report["services"]) == (200, 3, 1, 1)
                assert report["age_s"] < 5.0
                assert (await command("delete", "rating", "route-1"))[0] == 0
                await until(lambda: configuration.host is not None and not configuration.host.core.snapshot)
                configuration.close()
                assert configuration.answer()[0] == 503
                assert w.node.parts.membership is not None
                w.node.parts.membership.close()

    run(test)


def test_invalid_command_gives_one_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async def test() -> None:
        async with running_replica() as host:
            write_operators_file(tmp_path, host)

    run(test)
    path = str(tmp_path / "own.toml")
    (tmp_path / "off.toml").write_text("")
    for arguments, line in (
        (["put", "s", "k", "v" * 641, "--file", path], "VALUE: must be at most 640 bytes, got 641"),
        (["put", "", "k", "v", "--file", path], "SERVICE: must be 1 to 128 characters without NUL, got 0"),
        (
            ["show", "--file", path],
            "configuration.replicas: at least one replica must run, got no answer from any of them",
        ),
        (["show", "--file", str(tmp_path / "off.toml")], f"{tmp_path / 'off.toml'}: configuration.replicas"),
        (
            ["put", "s", "k", "v", "--file", path],
            f"{path}: configuration.replicas: no leader among the replicas",
        ),
        (["show", f"{LOCAL}:9", "--file", path], f"{LOCAL}:9: "),
    ):
        assert main(["configuration", *arguments]) == 2
        error = capsys.readouterr().err
        assert error.startswith(f"trackspread: {line}") and error.count("\n") == 1
