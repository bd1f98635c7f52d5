"""Tests control machines as processes: the elected one leads the replicas of the configuration."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import sys
import time
from pathlib import Path

import pytest
import uvloop

from trackspread.distribution.host import SubscriberHost
from trackspread.distribution.settings import SubscriberSettings
from trackspread.distribution.versions import Version
from trackspread.distribution.wire import Wire
from trackspread.testing.harness.limited_process import EXEC_WITH_LIMITS
from trackspread.membership.wire import Keys
from trackspread.testing.standins.loopback import Ports

pytestmark = pytest.mark.processes

MACHINES = 3
LEADER_TIMEOUT_S = 20.0  # until a leader is elected; machines that start wait for the longest lease first
IN_FORCE_TIMEOUT_S = 9.0
KEY = b"a key of many bytes"
MAX_DESCRIPTORS = 512  # of one process


class ControlTier:
    """Runs control machines as processes, and one subscription as a gateway has it."""

    def __init__(self, folder: Path) -> None:
        self._folder, ports = folder, Ports()
        hosts = [ports.host() for _ in range(MACHINES)]
        (folder / "key").write_bytes(KEY)
        control = "".join(
            f"[[fleet.control]]\nname = 'c{n}'\nregion = 'r'\nzone = 'z{n}'\naddress = '{host}:7500'\n"
            for n, host in enumerate(hosts)
        )
        replicas = ", ".join(f"'{host}:7600'" for host in hosts)
        self.file = folder / "own.toml"
        self.file.write_text(
            f"[fleet]\nname = 'f'\nkey = '{folder / 'key'}'\nkeep_s = 2.0\n{control}"
            f"[configuration]\nreplicas = [{replicas}]\n"
        )
        settings = SubscriberSettings(tuple((host, 7600) for host in hosts), frozenset({"rating"}))
        wire = Wire("f", Keys(KEY))
        self.gateway = SubscriberHost("g", settings, ports.udp(), wire, 1, 1, time.monotonic_ns)
        self._running: dict[int, asyncio.subprocess.Process] = {}

    async def start(self, number: int) -> None:
        with (self._folder / f"c{number}.log").open("ab") as log:
            self._running[number] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                EXEC_WITH_LIMITS,
                str(MAX_DESCRIPTORS),
                sys.executable,
                "-m",
                "trackspread",
                "control",
                f"c{number}",
                "--file",
                str(self.file),
                stdout=log,
                stderr=log,
                env={**os.environ},
            )

    async def end(self, number: int, signal_number: int) -> int:
        process = self._running.pop(number)
        process.send_signal(signal_number)
        return await process.wait()

    async def close(self) -> None:
        self.gateway.close()
        for number in list(self._running):
            await self.end(number, signal.SIGKILL)

    async def command(self, *arguments: str) -> tuple[int, str]:
        """Runs `trackspread configuration`; returns its exit status and its output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "trackspread",
            "configuration",
            *arguments,
            "--file",
            str(self.file),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        out, _ = await process.communicate()
        assert process.returncode is not None
        return process.returncode, out.decode()

    async def retry_command(self, *arguments: str) -> str:
        """Repeats a command until it succeeds; returns its output."""
        end = time.monotonic() + LEADER_TIMEOUT_S
        while (answer := await self.command(*arguments))[0]:
            assert time.monotonic() < end, answer
        return answer[1]

    async def wait_in_force(self, value: bytes | None) -> Version:
        """Waits until the gateway has the value; returns its version."""
        end = time.monotonic() + IN_FORCE_TIMEOUT_S
        while self.gateway.core.value("rating", "route") != value:
            assert time.monotonic() < end
            await asyncio.sleep(0.05)
        return self.gateway.core.version

    async def leader(self) -> int:
        """Returns the number of the machine that `show` reports as leader."""
        roles: list[str] = []
        while not roles:
            roles = re.findall(r"127\S+:7600 +(\w+)", (await self.command("show"))[1])
            roles = roles if "leader" in roles else []
        return roles.index("leader")


def test_elected_control_machine_leads_the_configuration_replicas(tmp_path: Path) -> None:
    """After the leader is killed or stopped, the next elected machine goes on with the same history."""

    async def test() -> None:
        tier = ControlTier(tmp_path)
        try:
            for number in range(MACHINES):
                await tier.start(number)
            await tier.gateway.start()
            await tier.retry_command("begin")
            assert (await tier.retry_command("put", "rating", "route", "first")).startswith("version ")
            first = await tier.wait_in_force(b"first")
            leader = await tier.leader()
            await tier.end(leader, signal.SIGKILL)
            await tier.retry_command("put", "rating", "route", "second")
            second = await tier.wait_in_force(b"second")
            assert second.epoch > first.epoch and second.history == first.history
            await tier.start(leader)
            await tier.retry_command("show")
            other = await tier.leader()
            assert await tier.end(other, signal.SIGTERM) == 0
            await tier.retry_command("delete", "rating", "route")
            assert await tier.wait_in_force(None) > second
        finally:
            await tier.close()

    uvloop.run(asyncio.wait_for(test(), 150.0))
