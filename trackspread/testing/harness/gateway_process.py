"""Runs one gateway in a process of its own."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import time
from pathlib import Path
from typing import Any

from ...config.platform import DEFAULT_MEMORY_MB
from ..judge.ledger import (
    GatewayExited,
    GatewayKilled,
    GatewayMemoryUsed,
    GatewayPaused,
    GatewayResumed,
    GatewayStarted,
    GatewayStopping,
    Ledger,
)
from ..standins.loopback import Address
from .limited_process import LimitedProcess, cpu_seconds, limited_command

READY_TIMEOUT_S = 20.0  # wait for the first answer to a ping; a loaded machine may be slow to start twenty
READY_POLL_S = 0.02
PING_TIMEOUT_S = 2.0  # short, so that a process that has ended meanwhile is noticed
STOP_TIMEOUT_S = 10.0  # wait after SIGTERM; longer than the longest deadline
RUN_COMMAND = ("-m", "trackspread", "run")
SEED_BITS = 63


class GatewayProcess(LimitedProcess):
    """Starts, pauses, kills and stops one gateway and records these events in the ledger.

    `config` is the platform's configuration, `operator_file` the text of the operator's file, and `command`
    the interpreter's arguments. The log and both files are in `folder`.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        config: dict[str, Any],
        folder: Path,
        ledger: Ledger,
        command: tuple[str, ...] = RUN_COMMAND,
        max_descriptors: int = 1024,
        operator_file: str = "",
    ) -> None:
        super().__init__(name, folder / f"{name}.log")
        self.address = address
        self.config = config
        self._config_path = folder / f"{name}.json"
        self._operator_path = folder / f"{name}.toml"
        self._ledger = ledger
        self._command = command
        self._max_descriptors = max_descriptors
        self._operator_path.write_text(operator_file)
        self._exit_task: asyncio.Task[None] | None = None
        self.starts = 0
        self.paused = False
        self.peak_memory_bytes = 0  # of the process that used most so far
        self._ended_cpu_s = 0.0  # sum over the processes that have ended

    async def start(self) -> None:
        """Starts it without any state and returns once it has answered a ping.

        Raises `RuntimeError` if the process ends first and `TimeoutError` after `READY_TIMEOUT_S`.
        """
        self._adopt(await self._spawn_gateway())
        await self._ready()

    async def _spawn_gateway(self) -> asyncio.subprocess.Process:
        self.write_config()
        return await self._spawn(self.command(), self.environment(), self.inherited_descriptors())

    def _adopt(self, process: asyncio.subprocess.Process) -> None:
        """Makes this process the gateway."""
        self._process = process
        self._exit_task = asyncio.get_running_loop().create_task(self._record_exit(process))

    def command(self) -> tuple[str, ...]:
        """Returns the complete command line with the limits."""
        arguments = (*self._command, "--file", str(self._operator_path))
        return limited_command(self._max_descriptors, *arguments)

    def environment(self) -> dict[str, str]:
        """Returns the variables that a process gets in addition to this process's own."""
        return {"ROUTER_CONFIG": str(self._config_path)}

    def inherited_descriptors(self) -> tuple[int, ...]:
        """Returns the open descriptors that a process inherits."""
        return ()

    def write_config(self) -> None:
        """Writes the configuration for one more start, with a seed of its own."""
        self.starts += 1
        # `hash` differs in every process, so with it a run could not be replayed.
        seed = random.Random(f"{self.name}:{self.starts}").getrandbits(SEED_BITS)
        self.config["seed"] = f"{seed:016x}"
        self._config_path.write_text(json.dumps(self.config))

    async def _ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._answers_ping():
                if not self.running:
                    raise RuntimeError(f"{self.name} did not start; its log: {self.log_tail()}")
                await asyncio.sleep(READY_POLL_S)
        self._ledger.write(GatewayStarted(time.monotonic_ns(), self.name))

    async def _answers_ping(self) -> bool:
        try:
            async with asyncio.timeout(PING_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.address)
                try:
                    writer.write(b"*1\r\n$4\r\nPING\r\n")
                    return await reader.readline() == b"+PONG\r\n"
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False

    async def _record_exit(self, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        self._ledger.write(GatewayExited(time.monotonic_ns(), self.name, status))

    async def kill(self) -> None:
        """Sends SIGKILL, like a power failure, and returns once the process has ended."""
        if self._process is not None and self.running:
            self.resume()
            self.record_usage()
            self._ledger.write(GatewayKilled(time.monotonic_ns(), self.name))
            self._process.kill()
            await self._exited()

    async def end(self, kill_after_s: float = STOP_TIMEOUT_S) -> None:
        """Sends SIGTERM, and SIGKILL after `kill_after_s`; returns once the process has ended."""
        if self._process is not None and self.running:
            self.resume()
            self.record_usage()
            self._ledger.write(GatewayStopping(time.monotonic_ns(), self.name))
            self._process.terminate()
            try:
                async with asyncio.timeout(kill_after_s):
                    await self._exited()
            except TimeoutError:
                self._process.kill()
                await self._exited()

    async def _exited(self) -> None:
        if self._exit_task is not None:
            await asyncio.shield(self._exit_task)

    def pause(self) -> None:
        """Sends SIGSTOP, like a machine that freezes."""
        if self._process is not None and self.running and not self.paused:
            self.paused = True
            self._process.send_signal(signal.SIGSTOP)
            self._ledger.write(GatewayPaused(time.monotonic_ns(), self.name))

    def resume(self) -> None:
        """Sends SIGCONT after a pause."""
        if self._process is not None and self.paused:
            self.paused = False
            self._ledger.write(GatewayResumed(time.monotonic_ns(), self.name))
            self.signal(signal.SIGCONT)

    def pids(self) -> list[int]:
        """Returns the ids of its processes that run."""
        return [self.pid] if self.running else []

    def cpu_used_s(self) -> float:
        """Returns the CPU time of all its processes so far in s."""
        return self._ended_cpu_s + cpu_seconds(self.pid)

    def record_usage(self) -> None:
        """Adds up CPU time and records peak memory; it must be called before the process ends."""
        self._ended_cpu_s += cpu_seconds(self.pid)
        try:
            status = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return
        peak = next((line for line in status.splitlines() if line.startswith("VmHWM")), "VmHWM: 0 kB")
        peak_bytes = int(peak.split()[1]) << 10
        self.peak_memory_bytes = max(self.peak_memory_bytes, peak_bytes)
        limit_mb = self.config.get("limits", {}).get("memory_mb", DEFAULT_MEMORY_MB)
        self._ledger.write(GatewayMemoryUsed(time.monotonic_ns(), self.name, peak_bytes, limit_mb << 20))
