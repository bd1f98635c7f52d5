"""Implements a client that stops in the middle of a long request and keeps its connection open."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import hiredis

from .client_population import ClientRequest
from .clients import Clients

BODY_BYTES = 4 << 20  # the longest that a gateway accepts
MISSING_BYTES = 64 << 10  # of the body, which are never sent
READ_BYTES = 1 << 10


async def stop_half_way(clients: Clients, gateway: int) -> bytes:
    """Sends a request without the end of its body; returns what the gateway sends before it closes."""
    command = _long_command(clients, next(_requests_with_body(clients)))
    reader, writer = await asyncio.open_connection(*clients.addresses[gateway])
    try:
        writer.write(command[:-MISSING_BYTES])
        return await _read_to_end(reader)
    finally:
        writer.transport.abort()


def _requests_with_body(clients: Clients) -> Iterator[ClientRequest]:
    while True:
        request = clients.population.next_request()
        if clients.scenario.idempotency(request.cls) != "safe":
            yield request


def _long_command(clients: Clients, request: ClientRequest) -> bytes:
    """Returns the request's command with the longest body in place of its own."""
    reader = hiredis.Reader()
    reader.feed(clients.command(request, clients.population.request_id(request)))
    *head, _ = reader.gets()
    return bytes(hiredis.pack_command((*head, bytes(BODY_BYTES))))


async def _read_to_end(reader: asyncio.StreamReader) -> bytes:
    parts: list[bytes] = []
    while True:
        try:
            data = await reader.read(READ_BYTES)
        except ConnectionError:
            data = b""
        if not data:
            return b"".join(parts)
        parts.append(data)
