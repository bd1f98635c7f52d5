"""Two ways to billing: HTTP with idempotency keys, and files that are dropped and answered.

May know: sockets, files, `Post` and `Reply`. Decides nothing: whatever goes wrong is told, the exporter tries
again. The protocol of either way is written down in `docs/use-export.md`.
"""

from __future__ import annotations

import asyncio
import os
import ssl
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol
from urllib.parse import urlsplit

import h11
import msgspec

from .batch import Reply, signature
from .exporter import Post

SECOND = 1_000_000_000
ANSWER_MOST = 65_536  # bytes of an answer: one is under two hundred
PATIENCE = 10.0  # s for one try, from connecting to the answer's end
LOOK = 0.2  # s between looks for the answer to a dropped file
MENDED_BY_RETRY = frozenset({408, 425, 429, 500, 502, 503, 504})  # RFC 9110 and 6585: worth trying again soon


class SendError(Exception):
    """A try that came to nothing. `retry_in`: ns, the receiver's advice; `final`: another won't mend it."""

    def __init__(self, text: str, retry_in: int = 0, final: bool = False) -> None:
        super().__init__(text)
        self.retry_in = retry_in
        self.final = final


class Sender(Protocol):
    """A way to billing."""

    async def send(self, post: Post) -> Reply:
        """Billing's reply; raises `SendError`, `TimeoutError` and `OSError`."""


@dataclass(frozen=True, slots=True)
class Target:
    """Where billing is, from the operator's file."""

    url: str
    secret: bytes = b""
    ca: str = ""


def sender(target: Target) -> Sender:
    """Raises `ValueError` with what is wanted."""
    parts = urlsplit(target.url)
    if parts.scheme == "file":
        return Drop(Path(parts.path))
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError("wanted http://HOST:PORT/PATH, https://HOST:PORT/PATH or file:///FOLDER")
    return Http(target)


def configured_sender(url: str, secret: str, ca: str) -> Sender:
    """As the operator's file has it, `secret` being a file's name; raises `OSError` and `ValueError`."""
    return sender(Target(url, Path(secret).read_bytes().strip() if secret else b"", ca))


class Http:
    """POST of the batch, a connection each: batches are seldom, and none is left half open by a restart."""

    def __init__(self, target: Target) -> None:
        parts = urlsplit(target.url)
        self._host = parts.hostname or ""
        self._path = parts.path or "/"
        self._port = parts.port or (443 if parts.scheme == "https" else 80)
        self._secret = target.secret
        self._tls = ssl.create_default_context(cafile=target.ca or None) if parts.scheme == "https" else None

    async def send(self, post: Post) -> Reply:
        """Billing's reply; raises `SendError`, `TimeoutError` and `OSError`."""
        async with asyncio.timeout(PATIENCE):
            reader, writer = await asyncio.open_connection(self._host, self._port, ssl=self._tls)
            try:
                return await self._exchange(reader, writer, post)
            finally:
                writer.close()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, post: Post
    ) -> Reply:
        machine = h11.Connection(h11.CLIENT, max_incomplete_event_size=ANSWER_MOST)
        headers = [
            ("Host", f"{self._host}:{self._port}"),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(post.body))),
            ("Connection", "close"),
            ("Idempotency-Key", post.key),
            ("Digest", f"sha-256={post.digest}"),
        ]
        if self._secret:
            headers.append(("Signature", signature(post.body, post.key, self._secret)))
        asked = h11.Request(method="POST", target=self._path, headers=headers)
        for part in (asked, h11.Data(data=post.body), h11.EndOfMessage()):
            writer.write(machine.send(part) or b"")
        await writer.drain()
        status, advice, body = 0, 0, b""
        while True:
            event = machine.next_event()
            match event:
                case h11.NEED_DATA:
                    machine.receive_data(await reader.read(ANSWER_MOST))
                case h11.Response():
                    status = event.status_code
                    advice = _advice(dict(event.headers).get(b"retry-after", b""))
                case h11.Data():
                    body += event.data
                    if len(body) > ANSWER_MOST:
                        raise SendError("billing's answer is too long", final=True)
                case h11.EndOfMessage():
                    return _answer(status, advice, body)
                case h11.ConnectionClosed() | h11.PAUSED:
                    raise SendError("billing hung up")


def _advice(word: bytes) -> int:
    """Retry-After in seconds (RFC 9110, 10.2.3), to ns; a date is not followed."""
    return int(word) * SECOND if word.isdigit() and len(word) < 6 else 0


def _answer(status: int, advice: int, body: bytes) -> Reply:
    if status == 200:
        return _reply(body)
    text = f"billing answers {status}"
    raise SendError(text, advice, final=status not in MENDED_BY_RETRY)


def _reply(body: bytes) -> Reply:
    try:
        return msgspec.json.decode(body, type=Reply, strict=True)
    except msgspec.DecodeError as error:
        raise SendError(f"billing's answer is no reply: {error}", final=True) from None


class Drop:
    """`in/KEY.json` is put there whole; billing takes it and puts its answer at `out/KEY.json`."""

    def __init__(self, folder: Path) -> None:
        self._in = folder / "in"
        self._out = folder / "out"

    async def send(self, post: Post) -> Reply:
        """Billing's reply; raises `SendError`, `TimeoutError` and `OSError`."""
        name = post.key.replace(":", "_") + ".json"
        await asyncio.to_thread(put, self._in, name, post.body)
        async with asyncio.timeout(PATIENCE):
            while True:
                body = await asyncio.to_thread(_take, self._out / name)
                if body is not None:
                    return _reply(body)
                await asyncio.sleep(LOOK)


def put(folder: Path, name: str, data: bytes) -> None:
    """Whole or not at all, and on the disk; what is there under this name is replaced."""
    folder.mkdir(parents=True, exist_ok=True)
    descriptor, temporary = tempfile.mkstemp(prefix=".", dir=folder)
    try:
        with os.fdopen(descriptor, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(descriptor)
        os.replace(temporary, folder / name)
    except BaseException:
        os.unlink(temporary)
        raise


def _take(path: Path) -> bytes | None:
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    path.unlink()
    return data
