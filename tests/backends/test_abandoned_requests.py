"""Tests what a backend that reads slowly gets of a request that was given up, over sockets."""

from __future__ import annotations

import asyncio
import socket
from contextlib import closing

import pytest

from ..fakes import LOCAL, run, soon
from .test_backends import CLOCK, SECOND, bench

BODY_BYTES = 256 << 10
RECEIVE_BUFFER_BYTES = 16 << 10
SETTLE_S = 0.05


@pytest.mark.parametrize("has_window", [False, True])
def test_request_that_was_given_up_does_not_go_on_to_a_slow_backend(has_window: bool) -> None:
    """Guards against a request that runs seconds after its end, or when its key may be forgotten.

    It ends by its timeout, or with the time in which it may be sent; the kernel holds a part of it by then.
    """

    async def test() -> None:
        with closing(socket.socket()) as server:
            server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            server.bind((LOCAL, 0))
            server.listen()
            server.setblocking(False)
            loop = asyncio.get_running_loop()
            async with bench(port=server.getsockname()[1]) as b:
                until = CLOCK() + int(SETTLE_S * SECOND) if has_window else 0
                attempt = b.start(1, body=bytes(BODY_BYTES), until=until)
                taken, _ = await soon(loop.sock_accept(server))
                received = len(await soon(loop.sock_recv(taken, 4096)))
                # The kernel takes as much of the request as it can.
                if has_window:
                    await b.end()
                else:
                    await asyncio.sleep(SETTLE_S)
                    b.pools.expire(attempt)
                try:
                    while data := await soon(loop.sock_recv(taken, 4096)):
                        received += len(data)
                except ConnectionResetError:
                    pass
                assert received < BODY_BYTES
                taken.close()

    run(test)
