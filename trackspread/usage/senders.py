"""Sends batches to billing, by HTTP with idempotency keys or by files that billing picks up.

Every failure is raised, and the exporter retries. `docs/use-export.md` specifies both protocols.
"""

from __future__ import annotations

import asyncio
import ssl
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol
from urllib.parse import urlsplit

import h11
import msgspec

from ..storage.directory import write_atomically
from .batch import Reply, signature
from .exporter import Post

SECOND = 1_000_000_000
MAX_REPLY_BYTES = 65_536  # limit of a reply; a valid one has fewer than two hundred bytes
SEND_TIMEOUT_S = 10.0  # limit for one attempt, from connecting to the end of the reply
REPLY_POLL_S = 0.2  # interval between two checks for the reply to a file
HTTP_PORT = 80
HTTPS_PORT = 443
HTTP_OK = 200
RETRYABLE_STATUS = frozenset({408, 425, 429, 500, 502, 503, 504})  # RFC 9110 and RFC 6585
MAX_RETRY_AFTER_DIGITS = 5


class SendError(Exception):
    """Reports a failed attempt to send.

    `retry_after_ns` is the receiver's Retry-After, or 0 for none. `final` says that a retry can't resolve the
    error.
    """

    def __init__(self, text: str, retry_after_ns: int = 0, final: bool = False) -> None:
        super().__init__(text)
        self.retry_after_ns = retry_after_ns
        self.final = final


class Sender(Protocol):
    """Sends batches to billing."""

    async def send(self, post: Post) -> Reply:
        """Sends a batch and returns billing's reply; raises `SendError`, `TimeoutError` and `OSError`."""


@dataclass(frozen=True, slots=True)
class Target:
    """Holds billing's address from the operator's file.

    `secret` signs the batches; `ca` is the file with billing's certificate authority.
    """

    url: str
    secret: bytes = b""
    ca: str = ""


def make_sender(target: Target) -> Sender:
    """Returns the sender for a target's URL; raises `ValueError` with the accepted URLs."""
    parts = urlsplit(target.url)
    if parts.scheme == "file":
        return FileSender(Path(parts.path))
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError("must be http://HOST:PORT/PATH, https://HOST:PORT/PATH or file:///FOLDER")
    return HttpSender(target)


def make_configured_sender(url: str, secret: str, ca: str) -> Sender:
    """Returns the sender for the operator's settings; raises `OSError` and `ValueError`.

    `secret` and `ca` are paths, or empty.
    """
    return make_sender(Target(url, Path(secret).read_bytes().strip() if secret else b"", ca))


class HttpSender:
    """Sends each batch by POST on a connection of its own.

    Batches are rare, and a restart then leaves no connection half open.
    """

    def __init__(self, target: Target) -> None:
        parts = urlsplit(target.url)
        self._host = parts.hostname or ""
        self._path = parts.path or "/"
        self._port = parts.port or (HTTPS_PORT if parts.scheme == "https" else HTTP_PORT)
        self._secret = target.secret
        self._tls = ssl.create_default_context(cafile=target.ca or None) if parts.scheme == "https" else None

    async def send(self, post: Post) -> Reply:
        """Sends a batch and returns billing's reply; raises `SendError`, `TimeoutError` and `OSError`."""
        async with asyncio.timeout(SEND_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(self._host, self._port, ssl=self._tls)
            try:
                return await self._exchange(reader, writer, post)
            finally:
                writer.close()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, post: Post
    ) -> Reply:
        connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_REPLY_BYTES)
        request = h11.Request(method="POST", target=self._path, headers=self._headers(post))
        for event in (request, h11.Data(data=post.body), h11.EndOfMessage()):
            writer.write(connection.send(event) or b"")
        await writer.drain()
        return await _read_reply(connection, reader)

    def _headers(self, post: Post) -> list[tuple[str, str]]:
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
        return headers


async def _read_reply(connection: h11.Connection, reader: asyncio.StreamReader) -> Reply:
    status, retry_after_ns, body = 0, 0, b""
    while True:
        event = connection.next_event()
        match event:
            case h11.NEED_DATA:
                connection.receive_data(await reader.read(MAX_REPLY_BYTES))
            case h11.Response():
                status = event.status_code
                retry_after_ns = _retry_after_ns(dict(event.headers).get(b"retry-after", b""))
            case h11.Data():
                body += event.data
                if len(body) > MAX_REPLY_BYTES:
                    raise SendError(f"billing's reply has more than {MAX_REPLY_BYTES} bytes", final=True)
            case h11.EndOfMessage():
                return _check_status(status, retry_after_ns, body)
            case h11.ConnectionClosed() | h11.PAUSED:
                raise SendError("billing closed the connection before the end of its reply")


def _retry_after_ns(value: bytes) -> int:
    """Returns a Retry-After in seconds (RFC 9110, 10.2.3) as ns, or 0 for a date, which is not supported."""
    return int(value) * SECOND if value.isdigit() and len(value) <= MAX_RETRY_AFTER_DIGITS else 0


def _check_status(status: int, retry_after_ns: int, body: bytes) -> Reply:
    if status == HTTP_OK:
        return _decode_reply(body)
    text = f"billing replied with status {status}"
    raise SendError(text, retry_after_ns, final=status not in RETRYABLE_STATUS)


def _decode_reply(body: bytes) -> Reply:
    try:
        return msgspec.json.decode(body, type=Reply, strict=True)
    except msgspec.DecodeError as error:
        raise SendError(f"billing's reply is invalid: {error}", final=True) from None


class FileSender:
    """Writes each batch to `in/KEY.json`; billing removes it and writes its reply to `out/KEY.json`."""

    def __init__(self, folder: Path) -> None:
        self._in = folder / "in"
        self._out = folder / "out"

    async def send(self, post: Post) -> Reply:
        """Writes a batch and returns billing's reply; raises `SendError`, `TimeoutError` and `OSError`."""
        name = post.key.replace(":", "_") + ".json"
        await asyncio.to_thread(write_atomically, self._in, name, post.body)
        async with asyncio.timeout(SEND_TIMEOUT_S):
            while True:
                body = await asyncio.to_thread(_read_and_remove, self._out / name)
                if body is not None:
                    return _decode_reply(body)
                await asyncio.sleep(REPLY_POLL_S)


def _read_and_remove(path: Path) -> bytes | None:
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    path.unlink()
    return data
