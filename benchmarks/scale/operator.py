"""Acts as an operator: sends changes of the configuration to the control replicas by datagram.

The module knows the wire format; it does not know gateways.
"""

from __future__ import annotations

import asyncio
import time

from trackspread.distribution.messages import (
    BeginHistory,
    Committed,
    Message,
    MessageBody,
    NotLeader,
    Put,
    Rejected,
)
from trackspread.distribution.wire import Wire
from trackspread.membership.wire import Keys

from .placement import Address

RESEND_S = 0.5  # Without an answer for this time, a command is sent again.
COMMAND_TIMEOUT_S = 30.0


class NotDone(Exception):
    """Reports a command without an answer in time."""


class Operator(asyncio.DatagramProtocol):
    """Sends each command again until it is committed."""

    def __init__(self, fleet: str, replicas: tuple[Address, ...]) -> None:
        self._wire, self._replicas = Wire(fleet, Keys()), replicas
        self._transport: asyncio.DatagramTransport | None = None
        self._waiting: dict[int, asyncio.Future[Committed]] = {}
        self._number = 0
        self.leader = 0

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        message = self._wire.unpack(data)
        match message.body if message is not None else None:
            case Committed() as done if (waiting := self._waiting.get(done.number)) is not None:
                if not waiting.done():
                    waiting.set_result(done)
            case NotLeader(leader=leader) if leader >= 0:
                self.leader = leader
            case Rejected():
                pass  # The command is sent again after `RESEND_S`.

    async def begin(self) -> None:
        """Begins the first history. Raises `NotDone`."""
        self._number += 1
        await self._until_done(self._number, BeginHistory(self._number))

    async def put(self, service: str, key: str, value: bytes) -> tuple[int, int]:
        """Puts one value; returns when it was first sent, in ns of the clock, and its sequence number.

        Raises `NotDone`.
        """
        self._number += 1
        put_at = time.monotonic_ns()
        done = await self._until_done(self._number, Put(self._number, service, key, value))
        return put_at, done.version.sequence

    async def _until_done(self, number: int, body: MessageBody) -> Committed:
        waiting = self._waiting[number] = asyncio.get_running_loop().create_future()
        end = time.monotonic() + COMMAND_TIMEOUT_S
        try:
            while time.monotonic() < end:
                asked = self.leader
                self._send(body)
                try:
                    return await asyncio.wait_for(asyncio.shield(waiting), RESEND_S)
                except TimeoutError:
                    if self.leader == asked:  # It may be dead while others still hold it for the leader.
                        self.leader = (asked + 1) % len(self._replicas)
        finally:
            del self._waiting[number]
        raise NotDone(f"{type(body).__name__}: not done within {COMMAND_TIMEOUT_S:g} s")

    def _send(self, body: MessageBody) -> None:
        if self._transport is not None:
            data = self._wire.pack(Message(self._wire.fleet, -1, 0, body))
            self._transport.sendto(data, self._replicas[self.leader])
