"""A gateway whose clients' socket the harness holds, as a platform does: new versions start beside the old
one.

May know: processes, descriptors, the door. What clients see of it is the ledger's; a process that another
one took over from has not ended for them.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import time
from pathlib import Path
from typing import Any

from ..judge.ledger import GatewayExited, Ledger
from ..standins.loopback import Address, Ports
from .gateway_process import READY_LOOK, READY_MOST, GatewayProcess

UPGRADE_MOST = 6.0  # s that the platform gives a new process to say yes


async def door(address: Address, path: str) -> tuple[int, str]:
    """Status and text of one call to a gateway's door."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(b"GET %b HTTP/1.1\r\nHost: x\r\n\r\n" % path.encode())
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        return int(head.split()[1]), body.decode()
    finally:
        writer.close()


async def figures(address: Address) -> dict[str, int]:
    _, text = await door(address, "/stats")
    pairs = (line.removeprefix("router.").split("=") for line in text.splitlines())
    return {name: int(value) for name, value in pairs}


class HeldProcess(GatewayProcess):
    """As `GatewayProcess`, with a door, a common folder and the listening socket inherited."""

    def __init__(
        self,
        name: str,
        address: Address,
        config: dict[str, Any],
        folder: Path,
        ledger: Ledger,
        sockets: int,
        ports: Ports,
        own: str = "",
    ) -> None:
        super().__init__(name, address, config, folder, ledger, sockets=sockets, own=own)
        self._ports = ports
        self.door = ports.tcp()
        self.socket = socket.create_server(address, backlog=1024)
        self.common = folder / f"{name}-common"
        self.common.mkdir()
        self._log = self.log.open("ab")
        self.older: list[asyncio.subprocess.Process] = []

    async def _spawn(self) -> asyncio.subprocess.Process:
        environment = {
            **os.environ,
            "ROUTER_CONFIG": str(self._path),
            "ROUTER_CONTROL": "{}:{}".format(*self.door),
            "ROUTER_ACCEPT_FD": str(self.socket.fileno()),
            "TMPDIR": str(self.common),
        }
        return await asyncio.create_subprocess_exec(
            *self.command(),
            stdout=self._log,
            stderr=self._log,
            env=environment,
            pass_fds=[self.socket.fileno()],
        )

    async def start(self) -> None:
        self.write_config()
        self._process = await self._spawn()
        self._watch = asyncio.get_running_loop().create_task(self._ended(self._process))
        await self._ready()

    async def upgrade(self) -> float:
        """A new process takes over; returns the seconds until its yes. The old one is told to end then."""
        loop, old, watch = asyncio.get_running_loop(), self._process, self._watch
        assert old is not None and watch is not None
        watch.cancel()  # its end in good order is not the gateway's, and may come before the yes is seen here
        self.door, began = self._ports.tcp(), loop.time()
        self.write_config()
        fresh = await self._spawn()
        async with asyncio.timeout(UPGRADE_MOST):
            while True:
                try:
                    if (await door(self.door, "/healthcheck"))[0] == 200:
                        break
                except OSError:
                    pass
                if fresh.returncode is not None:
                    raise RuntimeError(f"{self.name}: the new process ended; its log: {self.tail()}")
                await asyncio.sleep(READY_LOOK)
        took = loop.time() - began
        self._process, self._watch = fresh, loop.create_task(self._ended(fresh))
        if old.returncode is None:
            old.send_signal(signal.SIGTERM)
        self.older.append(old)
        async with asyncio.timeout(READY_MOST):
            status = await old.wait()
        if status not in (0, -signal.SIGTERM):  # it may come when its handlers are gone
            self._ledger.write(GatewayExited(time.monotonic_ns(), self.name, status))
        return took

    async def kill(self) -> None:
        await super().kill()
        for process in self.older:
            if process.returncode is None:
                process.kill()
                await process.wait()
        self.socket.close()
        self._log.close()
