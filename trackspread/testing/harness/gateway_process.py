"""One gateway in a process of its own, with its limits; it never outlives whoever started it."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any

from ..judge.ledger import (
    GatewayExited,
    GatewayPaused,
    GatewayKilled,
    Ledger,
    GatewayResumed,
    GatewayStarted,
    GatewayStopping,
)
from ..standins.loopback import Address

READY_MOST = 20.0  # s until a gateway answers a ping; a loaded machine may be slow to start twenty of them
READY_LOOK = 0.02  # s between pings
PING_MOST = 2.0  # s for one: another follows, and a process that has ended meanwhile is seen
END_MOST = 10.0  # s that a gateway has to end after SIGTERM, over the longest deadline
# Its limits are set by a step between, not by a function before the exec: that would have this process copied
# with all of its ledger, and its loop stand still for so long. 1: PR_SET_PDEATHSIG of prctl(2), 9: SIGKILL.
# A lower priority: a dozen that start at once would take the cores from the rig that is to see what they do.
BOUNDED = (
    "import ctypes, os, resource, sys; ctypes.CDLL(None).prctl(1, 9); most = int(sys.argv[1]); "
    "resource.setrlimit(resource.RLIMIT_NOFILE, (most, most)); os.nice(5); "
    "os.execv(sys.argv[2], sys.argv[2:])"
)
TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid: int) -> float:
    """What a process has used so far; 0 for one that is gone."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / TICKS


class GatewayProcess:
    """Starts, kills and ends one gateway; `command` is what runs it, without the interpreter."""

    def __init__(
        self,
        name: str,
        address: Address,
        config: dict[str, Any],
        folder: Path,
        ledger: Ledger,
        command: tuple[str, ...] = ("-m", "trackspread", "run"),
        sockets: int = 1024,
        own: str = "",
    ) -> None:
        """`own`: the text of the operator's file."""
        self.name = name
        self.address = address
        self.config = config
        self.log = folder / f"{name}.log"
        self._path = folder / f"{name}.json"
        self._own = folder / f"{name}.toml"
        self._ledger = ledger
        self._command = command
        self._sockets = sockets
        self._own.write_text(own)
        self._process: asyncio.subprocess.Process | None = None
        self._watch: asyncio.Task[None] | None = None
        self.starts = 0
        self.halted = False
        self.cpu = 0.0  # s, of the processes that have ended
        self.peak = 0  # bytes of memory that any of them held at most

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        return self._process.pid if self._process is not None else 0

    async def start(self) -> None:
        """From nothing; returns once it has answered a ping."""
        self.write_config()
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self.command(),
                stdout=log,
                stderr=log,
                env={**os.environ, "ROUTER_CONFIG": str(self._path)},
            )
        self._watch = asyncio.get_running_loop().create_task(self._ended(self._process))
        await self._ready()

    def command(self) -> tuple[str, ...]:
        """What starts it, bounded."""
        bounded = (sys.executable, "-I", "-S", "-c", BOUNDED, str(self._sockets), sys.executable)
        return *bounded, *self._command, "--file", str(self._own)

    def write_config(self) -> None:
        """For one more start."""
        self.starts += 1
        # Not `hash`: that of a name is another in every process, and a run could not be replayed.
        seed = random.Random(f"{self.name}:{self.starts}").getrandbits(63)
        self.config["seed"] = f"{seed:016x}"
        self._path.write_text(json.dumps(self.config))

    async def _ready(self) -> None:
        async with asyncio.timeout(READY_MOST):
            while not await self._pinged():
                if not self.running:
                    raise RuntimeError(f"{self.name} did not start; its log: {self.tail()}")
                await asyncio.sleep(READY_LOOK)
        self._ledger.write(GatewayStarted(time.monotonic_ns(), self.name))

    async def _pinged(self) -> bool:
        try:
            async with asyncio.timeout(PING_MOST):
                reader, writer = await asyncio.open_connection(*self.address)
                try:
                    writer.write(b"*1\r\n$4\r\nPING\r\n")
                    return await reader.readline() == b"+PONG\r\n"
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False

    def tail(self, lines: int = 5) -> str:
        return " | ".join(self.log.read_text(errors="replace").splitlines()[-lines:])

    async def _ended(self, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        self._ledger.write(GatewayExited(time.monotonic_ns(), self.name, status))

    async def kill(self) -> None:
        """Outright, as a machine that loses power."""
        if self._process is not None and self.running:
            self.resume()
            self.measure()
            self._ledger.write(GatewayKilled(time.monotonic_ns(), self.name))
            self._process.kill()
            await self._gone()

    async def end(self) -> None:
        """SIGTERM, and wait until it is gone."""
        if self._process is not None and self.running:
            self.resume()
            self.measure()
            self._ledger.write(GatewayStopping(time.monotonic_ns(), self.name))
            self._process.terminate()
            try:
                async with asyncio.timeout(END_MOST):
                    await self._gone()
            except TimeoutError:
                self._process.kill()
                await self._gone()

    async def _gone(self) -> None:
        if self._watch is not None:
            await asyncio.shield(self._watch)

    def signal(self, number: signal.Signals) -> None:
        if self._process is not None and self.running:
            self._process.send_signal(number)

    def halt(self) -> None:
        """SIGSTOP: a machine that stands still, and knows nothing of it."""
        if self._process is not None and self.running and not self.halted:
            self.halted = True
            self._process.send_signal(signal.SIGSTOP)
            self._ledger.write(GatewayPaused(time.monotonic_ns(), self.name))

    def resume(self) -> None:
        if self._process is not None and self.halted:
            self.halted = False
            self._ledger.write(GatewayResumed(time.monotonic_ns(), self.name))
            if self.running:
                self._process.send_signal(signal.SIGCONT)

    def used(self) -> float:
        """CPU seconds of all its processes so far."""
        return self.cpu + cpu_seconds(self.pid)

    def measure(self) -> None:
        """Take note of CPU and memory before the process goes."""
        self.cpu += cpu_seconds(self.pid)
        try:
            status = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return
        held = next((line for line in status.splitlines() if line.startswith("VmHWM")), "VmHWM: 0 kB")
        self.peak = max(self.peak, int(held.split()[1]) << 10)
