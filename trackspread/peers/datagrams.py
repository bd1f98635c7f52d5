"""Sends and receives datagrams between gateways; drops those that are too long or of unknown senders."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable
from typing import cast

from ..config.addresses import Address
from ..decide.peer_messages import MAX_MESSAGE_BYTES

MAX_LOGGED_SENDERS = 16  # unknown senders that are logged, once each
log = logging.getLogger(__name__)


class PeerSocket(asyncio.DatagramProtocol):
    """Sends and receives all messages of other gateways; a sender's address gives its number."""

    def __init__(
        self,
        peers: tuple[Address, ...],
        broadcast_address: Address | None,
        own_number: int,
        on_message: Callable[[int, bytes], None],
    ) -> None:
        self._peers = peers
        self._numbers = {peer: number for number, peer in enumerate(peers) if number != own_number}
        self._broadcast_address = broadcast_address
        self._on_message = on_message
        self._logged_senders: set[tuple[str, int]] = set()  # unknown ones
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: Address, descriptor: int | None = None, is_shared: bool = False) -> None:
        """Opens the socket; raises `OSError`.

        `descriptor` is that of a bound socket that is taken over from another process. `is_shared` allows
        another process to hold the address still; its datagrams go to the process that bound it last.
        """
        peer_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM, fileno=descriptor)
        peer_socket.setblocking(False)
        if descriptor is None:
            try:
                if is_shared:
                    peer_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                peer_socket.bind(address)
            except OSError:
                peer_socket.close()
                raise
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, sock=peer_socket)

    def detach(self) -> int | None:
        """Closes the socket here and returns its descriptor for another process; None if it is not open."""
        if self._transport is None:
            return None
        descriptor = os.dup(self._transport.get_extra_info("socket").fileno())
        self._transport.close()
        self._transport = None
        return descriptor

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport, for sending."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes on a peer's message; drops other datagrams and logs their senders."""
        number = self._numbers.get((addr[0], addr[1]))
        if number is not None and len(data) <= MAX_MESSAGE_BYTES:
            self._on_message(number, data)
        elif (
            number is None
            and addr not in self._logged_senders
            and len(self._logged_senders) < MAX_LOGGED_SENDERS
        ):
            self._logged_senders.add(addr)
            log.warning("peers: ignored datagram from unknown sender %s:%d", *addr[:2])

    def error_received(self, exc: Exception) -> None:
        """Ignores the ICMP error that a stopped peer's port answers with: messages may be lost anyway."""

    def send(self, recipient: int | None, data: bytes) -> None:
        """Sends a message to one peer by its number, or to all if `recipient` is None; drops long ones."""
        if len(data) > MAX_MESSAGE_BYTES:
            log.error("peers: dropped message of %d bytes, the limit is %d", len(data), MAX_MESSAGE_BYTES)
            return
        if self._transport is None:
            return
        if recipient is not None:
            targets = [self._peers[recipient]] if 0 <= recipient < len(self._peers) else []
        else:
            targets = [self._broadcast_address] if self._broadcast_address else list(self._numbers)
        for target in targets:
            self._transport.sendto(data, target)

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()
