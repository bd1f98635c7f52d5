"""Datagrams between gateways: a sender's address gives its number; strangers and junk are dropped."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable
from typing import cast

from ..config.addresses import Address
from ..decide.peer_messages import MAX_MESSAGE_BYTES

STRANGERS_MOST = 16  # senders off the list of peers that the log tells of, once each
log = logging.getLogger(__name__)


class Peers(asyncio.DatagramProtocol):
    """The UDP socket that all messages to and from other gateways go through."""

    def __init__(
        self,
        peers: tuple[Address, ...],
        everyone: Address | None,
        me: int,
        heard: Callable[[int, bytes], None],
    ) -> None:
        self._peers = peers
        self._numbers = {peer: number for number, peer in enumerate(peers) if number != me}
        self._everyone = everyone
        self._heard = heard
        self._strangers: set[tuple[str, int]] = set()  # that were told of in the log
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: Address, given: int | None = None, shared: bool = False) -> None:
        """`given`: descriptor of a socket that is bound already, taken over from another process; `shared`:
        such a process may still hold the address, whose datagrams come to whoever bound it last. Raises
        `OSError`."""
        made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM, fileno=given)
        made.setblocking(False)
        if given is None:
            try:
                if shared:
                    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                made.bind(address)
            except OSError:
                made.close()
                raise
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, sock=made)

    def leave(self) -> int | None:
        """A descriptor of the socket, for another process; nothing is read or sent here from now on."""
        if self._transport is None:
            return None
        descriptor = os.dup(self._transport.get_extra_info("socket").fileno())
        self._transport.close()
        self._transport = None
        return descriptor

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        number = self._numbers.get((addr[0], addr[1]))
        if number is not None and len(data) <= MAX_MESSAGE_BYTES:
            self._heard(number, data)
        elif number is None and addr not in self._strangers and len(self._strangers) < STRANGERS_MOST:
            self._strangers.add(addr)
            log.warning("word from %s:%d, which is no peer, is passed over", *addr[:2])

    def error_received(self, exc: Exception) -> None:
        """A dead peer's port answers with an ICMP error; messages may be lost anyway."""

    def tell(self, to: int | None, data: bytes) -> None:
        """To one peer by number, or to all. One that is too long is dropped here."""
        if len(data) > MAX_MESSAGE_BYTES:
            log.error("message of %d bytes to a peer dropped", len(data))
            return
        if self._transport is None:
            return
        if to is not None:
            targets = [self._peers[to]] if 0 <= to < len(self._peers) else []
        else:
            targets = [self._everyone] if self._everyone else list(self._numbers)
        for target in targets:
            self._transport.sendto(data, target)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
