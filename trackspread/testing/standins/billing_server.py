"""The billing stand-in at work: over HTTP, with its memory in SQLite, and on dropped files.

May know: sockets, files, the rules in `billing.py`. It can be made to fail as receivers do: be away, answer
late, take a batch and lose the answer, turn away for a while.
"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import h11
import msgspec

from ...usage.batch import signed
from ...usage.senders import put
from .billing import Billing, Ledger

BODY_MOST = 4 << 20  # bytes of a batch; one of 256 records is some 30 kB


class BillingServer:
    """`lost`: part of the answers that are not given although the batch was taken; `busy`: part turned away
    with 503 before it is looked at; `late`: s before an answer, at most."""

    def __init__(self, path: Path, secret: bytes = b"", seed: int = 1) -> None:
        self.ledger = Ledger(path)
        self.billing = Billing(self.ledger)
        self.lost = 0.0
        self.busy = 0.0
        self.late = 0.0
        self.port = 0
        self._secret, self._rng = secret, random.Random(f"billing:{seed}")
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Where it was before, if it was."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.port}/use"

    def stop(self) -> None:
        """Away, as a system that is down: connections are refused until the next start."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close(self) -> None:
        self.stop()
        self.ledger.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._one(reader, writer)
        except (h11.RemoteProtocolError, ConnectionError):
            pass  # whoever it was will come again
        finally:
            writer.close()

    async def _one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        machine = h11.Connection(h11.SERVER)
        method, headers = b"", dict[bytes, bytes]()
        body = b""
        while True:
            match event := machine.next_event():
                case h11.NEED_DATA:
                    machine.receive_data(await reader.read(65_536))
                case h11.Request():
                    method, headers = event.method, dict(event.headers)
                case h11.Data() if len(body) <= BODY_MOST:
                    body += event.data
                case h11.EndOfMessage():
                    break
                case _:
                    return
        await asyncio.sleep(self._rng.uniform(0.0, self.late))
        status, answer = self._answer(method, headers, body)
        if self._rng.random() < self.lost:
            return
        more = [("Retry-After", "1")] if status == 503 else []
        for part in (
            h11.Response(status_code=status, headers=[("Content-Length", str(len(answer))), *more]),
            h11.Data(data=answer),
            h11.EndOfMessage(),
        ):
            writer.write(machine.send(part) or b"")
        await writer.drain()

    def _answer(self, method: bytes, headers: dict[bytes, bytes], body: bytes) -> tuple[int, bytes]:
        if method == b"GET":
            return 200, msgspec.json.encode(
                [
                    (*key, requests, str(units))
                    for key, (requests, units) in sorted(self.ledger.totals().items())
                ]
            )
        if self._rng.random() < self.busy:
            return 503, b"busy"
        key = headers.get(b"idempotency-key", b"").decode()
        if self._secret and not signed(body, key, self._secret, headers.get(b"signature", b"").decode()):
            return 403, b"the signature does not fit"
        try:
            return 200, msgspec.json.encode(self.billing.post(body))
        except msgspec.DecodeError as error:
            return 400, str(error).encode()


def take_drops(folder: Path, billing: Billing) -> int:
    """Takes what lies in `in`, oldest name first, and answers in `out`; how many there were. A crash anywhere
    in it is harmless: what is still in `in` is taken again, and is there once all the same."""
    taken = 0
    for path in sorted((folder / "in").glob("[!.]*.json")):
        reply = billing.post(path.read_bytes())
        put(folder / "out", path.name, msgspec.json.encode(reply))
        path.unlink()
        taken += 1
    return taken
