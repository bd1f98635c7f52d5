"""Runs a gateway on a listening socket of the harness, so that a new version can start beside the old one.

The ledger records the clients' view, in which a gateway has not ended when another process takes over.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from pathlib import Path
from typing import Any, NamedTuple

from ..judge.ledger import GatewayExited, Ledger
from ..standins.loopback import Address, Ports
from .gateway_process import READY_POLL_S, READY_TIMEOUT_S, RUN_COMMAND, GatewayProcess

UPGRADE_TIMEOUT_S = 6.0  # time that the platform gives a new process to become healthy
LISTEN_BACKLOG = 1024
HTTP_OK = 200


class HttpReply(NamedTuple):
    """Holds the status and the body of an HTTP response."""

    status: int
    body: str


async def http_get(address: Address, path: str) -> HttpReply:
    """Sends one GET request to a gateway's control address and returns the reply; raises `OSError`."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(b"GET %b HTTP/1.1\r\nHost: x\r\n\r\n" % path.encode())
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        return HttpReply(int(head.split()[1]), body.decode())
    finally:
        writer.close()


async def gateway_stats(address: Address) -> dict[str, int]:
    """Returns the counters at a gateway's control address by name."""
    reply = await http_get(address, "/stats")
    pairs = (line.removeprefix("router.").split("=") for line in reply.body.splitlines())
    return {name: int(value) for name, value in pairs}


class UpgradableGateway(GatewayProcess):
    """Runs a gateway with a control address, an inherited listening socket and a handover folder."""

    def __init__(
        self,
        name: str,
        address: Address,
        config: dict[str, Any],
        folder: Path,
        ledger: Ledger,
        max_descriptors: int,
        ports: Ports,
        operator_file: str = "",
        command: tuple[str, ...] = RUN_COMMAND,
    ) -> None:
        super().__init__(name, address, config, folder, ledger, command, max_descriptors, operator_file)
        self._ports = ports
        self.control_address = ports.tcp()
        self._listening_socket = socket.create_server(address, backlog=LISTEN_BACKLOG)
        self.handover_folder = folder / f"{name}-common"
        self.handover_folder.mkdir()
        self._predecessors: list[asyncio.subprocess.Process] = []

    def environment(self) -> dict[str, str]:
        """Returns the variables that a process gets in addition to this process's own."""
        return {
            **super().environment(),
            "ROUTER_CONTROL": "{}:{}".format(*self.control_address),
            "ROUTER_ACCEPT_FD": str(self._listening_socket.fileno()),
            "TMPDIR": str(self.handover_folder),
        }

    def inherited_descriptors(self) -> tuple[int, ...]:
        """Returns the listening socket's descriptor."""
        return (self._listening_socket.fileno(),)

    async def upgrade(self) -> float:
        """Replaces the process by a new one; returns the time in s until the new one was healthy.

        Raises `RuntimeError` if the new process ends first and `TimeoutError` after `UPGRADE_TIMEOUT_S`.
        """
        loop = asyncio.get_running_loop()
        predecessor = self._process
        assert predecessor is not None and self._exit_task is not None
        # The old process's exit is not the gateway's, and may come before the new one is known to be healthy.
        self._exit_task.cancel()
        self.control_address = self._ports.tcp()
        started = loop.time()
        successor = await self._spawn_gateway()
        await self._healthy(successor)
        took = loop.time() - started
        self._adopt(successor)
        await self._end_predecessor(predecessor)
        return took

    async def _healthy(self, process: asyncio.subprocess.Process) -> None:
        async with asyncio.timeout(UPGRADE_TIMEOUT_S):
            while not await self._answers_health_check():
                if process.returncode is not None:
                    raise RuntimeError(f"{self.name}: the new process ended; its log: {self.log_tail()}")
                await asyncio.sleep(READY_POLL_S)

    async def _answers_health_check(self) -> bool:
        try:
            reply = await http_get(self.control_address, "/healthcheck")
        except OSError:
            return False
        return reply.status == HTTP_OK

    async def _end_predecessor(self, process: asyncio.subprocess.Process) -> None:
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        self._predecessors.append(process)
        async with asyncio.timeout(READY_TIMEOUT_S):
            status = await process.wait()
        # SIGTERM may arrive after the process has removed its handlers.
        if status not in (0, -signal.SIGTERM):
            self._ledger.write(GatewayExited(time.monotonic_ns(), self.name, status))

    def pids(self) -> list[int]:
        """Returns the ids of its processes that run, a predecessor's included."""
        return super().pids() + [each.pid for each in self._predecessors if each.returncode is None]

    async def kill(self) -> None:
        """Kills all its processes and closes the listening socket."""
        await super().kill()
        for process in self._predecessors:
            if process.returncode is None:
                process.kill()
                await process.wait()
        self._listening_socket.close()
