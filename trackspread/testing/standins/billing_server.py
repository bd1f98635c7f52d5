"""Serves the billing stand-in over HTTP and from files in a folder, with its store in SQLite."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import NamedTuple

import h11
import msgspec

from ...usage.batch import is_signature_valid
from ...storage.directory import write_atomically
from .billing import Billing
from .billing_database import BillingDatabase

MAX_BODY_BYTES = 4 << 20  # limit for a batch; a batch of 256 records has some 30 kB
READ_BYTES = 65_536
HOST = "127.0.0.1"
OK, BAD_REQUEST, FORBIDDEN, UNAVAILABLE = 200, 400, 403, 503


class _Request(NamedTuple):
    method: bytes
    headers: dict[bytes, bytes]
    body: bytes


class _Response(NamedTuple):
    status: int
    body: bytes


class BillingServer:
    """Serves a billing system that may be faulty.

    `answer_loss` is the share of answers that are not sent although the batch was taken. `unavailable_share`
    is the share of batches that are answered with 503 before they are read. `max_delay_s` is the longest
    delay before an answer.
    """

    def __init__(self, path: Path, secret: bytes = b"", seed: int = 1) -> None:
        self.database = BillingDatabase(path)
        self.billing = Billing(self.database)
        self.answer_loss = 0.0
        self.unavailable_share = 0.0
        self.max_delay_s = 0.0
        self.port = 0
        self._secret = secret
        self._rng = random.Random(f"billing:{seed}")
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen; after a stop it uses the same port again."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def url(self) -> str:
        """Returns the URL to which batches are sent."""
        return f"http://{HOST}:{self.port}/use"

    def stop(self) -> None:
        """Refuses connections until the next start."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close(self) -> None:
        """Stops the server and closes the database."""
        self.stop()
        self.database.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._exchange(reader, writer)
        except (h11.RemoteProtocolError, ConnectionError):
            pass  # the sender will try again
        finally:
            writer.close()

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        http = h11.Connection(h11.SERVER)
        request = await _read_request(http, reader)
        if request is None:
            return
        await asyncio.sleep(self._rng.uniform(0.0, self.max_delay_s))
        status, body = self._answer(request)
        if self._rng.random() < self.answer_loss:
            return
        headers = [("Content-Length", str(len(body)))]
        if status == UNAVAILABLE:
            headers.append(("Retry-After", "1"))
        for event in (
            h11.Response(status_code=status, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        ):
            writer.write(http.send(event) or b"")
        await writer.drain()

    def _answer(self, request: _Request) -> _Response:
        if request.method == b"GET":
            return _Response(OK, self._totals())
        if self._rng.random() < self.unavailable_share:
            return _Response(UNAVAILABLE, b"busy")
        key = request.headers.get(b"idempotency-key", b"").decode()
        signature = request.headers.get(b"signature", b"").decode()
        if self._secret and not is_signature_valid(request.body, key, self._secret, signature):
            return _Response(FORBIDDEN, b"the signature does not fit")
        try:
            return _Response(OK, msgspec.json.encode(self.billing.post(request.body)))
        except msgspec.DecodeError as error:
            return _Response(BAD_REQUEST, str(error).encode())

    def _totals(self) -> bytes:
        totals = sorted(self.database.totals().items())
        return msgspec.json.encode([(*key, requests, str(units)) for key, (requests, units) in totals])


async def _read_request(http: h11.Connection, reader: asyncio.StreamReader) -> _Request | None:
    """Reads a complete request; returns None if the connection ended before, or the body is too long."""
    method, headers = b"", dict[bytes, bytes]()
    body = b""
    while True:
        match event := http.next_event():
            case h11.NEED_DATA:
                http.receive_data(await reader.read(READ_BYTES))
            case h11.Request():
                method, headers = event.method, dict(event.headers)
            case h11.Data() if len(body) <= MAX_BODY_BYTES:
                body += event.data
            case h11.EndOfMessage():
                return _Request(method, headers, body)
            case _:
                return None


def take_dropped_files(folder: Path, billing: Billing) -> int:
    """Takes the files in `in` in the order of their names and answers in `out`; returns their number.

    A crash at any point is harmless, because a file that is still in `in` is taken again and its records are
    counted only once.
    """
    taken = 0
    for path in sorted((folder / "in").glob("[!.]*.json")):
        reply = billing.post(path.read_bytes())
        write_atomically(folder / "out", path.name, msgspec.json.encode(reply))
        path.unlink()
        taken += 1
    return taken
