"""Control machines as processes of the program: who leads them leads what they hand down."""

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
LED = 20.0  # s until a leader is there; a cold tier waits for the longest lease first
IN_FORCE = 9.0  # s
KEY = b"a key of many bytes"
SOCKETS = 512  # descriptors of one process


class Tier:
    """Control machines, and one subscription as a gateway has it."""

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
                str(SOCKETS),
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

    async def end(self, number: int, how: int) -> int:
        process = self._running.pop(number)
        process.send_signal(how)
        return await process.wait()

    async def close(self) -> None:
        self.gateway.close()
        for number in list(self._running):
            await self.end(number, signal.SIGKILL)

    async def command(self, *words: str) -> tuple[int, str]:
        """Exit status and what it prints of `trackspread configuration`."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "trackspread",
            "configuration",
            *words,
            "--file",
            str(self.file),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        out, _ = await process.communicate()
        assert process.returncode is not None
        return process.returncode, out.decode()

    async def done(self, *words: str) -> str:
        """Asked for until it is done."""
        end = time.monotonic() + LED
        while (answer := await self.command(*words))[0]:
            assert time.monotonic() < end, answer
        return answer[1]

    async def in_force(self, value: bytes | None) -> Version:
        end = time.monotonic() + IN_FORCE
        while self.gateway.core.value("rating", "route") != value:
            assert time.monotonic() < end
            await asyncio.sleep(0.05)
        return self.gateway.core.version

    async def leader(self) -> int:
        """The number of the one that `show` calls so."""
        found: list[str] = []
        while not found:
            found = re.findall(r"127\S+:7600 +(\w+)", (await self.command("show"))[1])
            found = found if "leader" in found else []
        return found.index("leader")


def test_who_leads_the_control_machines_leads_the_configuration(tmp_path: Path) -> None:
    async def test() -> None:
        tier = Tier(tmp_path)
        try:
            for number in range(MACHINES):
                await tier.start(number)
            await tier.gateway.start()
            await tier.done("begin")
            assert (await tier.done("put", "rating", "route", "first")).startswith("version ")
            first = await tier.in_force(b"first")
            leader = await tier.leader()
            await tier.end(leader, signal.SIGKILL)
            await tier.done("put", "rating", "route", "second")
            second = await tier.in_force(b"second")
            assert second.epoch > first.epoch and second.history == first.history
            await tier.start(leader)
            await tier.done("show")
            other = await tier.leader()
            assert await tier.end(other, signal.SIGTERM) == 0
            await tier.done("delete", "rating", "route")
            assert await tier.in_force(None) > second
        finally:
            await tier.close()

    uvloop.run(asyncio.wait_for(test(), 150.0))
