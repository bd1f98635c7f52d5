"""Which batch goes to billing next, and what its answers mean.

May know: the control, what is committed. May not know: HTTP, threads, the disk. Rules:

- Only what is committed leaves, in order of places, one batch at a time, the oldest stream first.
- A batch is noted on the disk before it is first sent: until it is answered the same places go again, after a
  crash too.
- Billing's `taken` moves the watermark, nothing else does; it moves back if billing forgot.
- A closed stream's length goes along with its last batch, or alone: from then on nobody can add to it. It is
  sealed only by the answer to a batch that named the length.
- Fenced off by a seal: up to it the stream is sent as before, as the same places hold the same records for
  whoever has a copy. What lies behind it goes on as a stream of its own, which all copies name alike.
- A refusal that trying again can't mend stalls the export, is told, and is tried all the same, seldom.
"""

from __future__ import annotations

import hashlib
import random
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from ..storage.calls import Read
from ..storage.slots import Head, Scan
from .batch import Batch, Reply, digest, encode, rows
from .control import Control, Intent, Part, Stream

SECOND = 1_000_000_000
BATCH = 1024  # places: some 120 kB as JSON, and two or three milliseconds of a loop
WAIT_LEAST, WAIT_MOST = SECOND // 4, 60 * SECOND  # between tries of one batch, doubled each time, jittered
REFUSED_WAIT = 60 * SECOND  # after an answer that trying again won't mend


class Stage(Enum):
    """IDLE: nothing is under way. READING: the records were asked for. NOTING: the intent is not on the disk
    yet. READY: may be sent. SENT: no answer yet. RESTING: tried, and waits until it tries again."""

    IDLE = "idle"
    READING = "reading"
    NOTING = "noting"
    READY = "ready"
    SENT = "sent"
    RESTING = "resting"


@dataclass(frozen=True, slots=True)
class Post:
    """A batch to be sent."""

    key: str
    body: bytes
    digest: str


class Span(NamedTuple):
    """What is sent next."""

    epoch: int
    first: int
    last: int


def forked(stream: str, first: int) -> str:
    """The name under which a stream goes on from a place. Whoever holds a copy of these records comes to the
    same name: they are taken once, whoever sends them."""
    return hashlib.blake2b(f"{stream}:{first}".encode(), digest_size=16).hexdigest()


class Exporter:
    """One batch's way; the control is changed here, and saved elsewhere when `dirty`."""

    def __init__(self, every: int, rng: random.Random) -> None:
        """`every`: ns for which a batch that is not full is waited for."""
        self._every = every
        self._rng = rng
        self.stage = Stage.IDLE
        self.dirty = False
        self.alarms: list[str] = []
        self.posts = 0
        self.resent = 0
        self._span: Span | None = None
        self._post: Post | None = None
        self._until = 0
        self._wait = WAIT_LEAST
        self._sent_at = 0
        self.trouble = ""  # why the last try failed; empty once one went well

    # What to send.

    def next(self, now: int, control: Control, committed: int) -> Read | None:
        """The records wanted for a batch, if one is to be made now. `committed`: of the live stream."""
        if self.stage is not Stage.IDLE:
            return None
        if control.intent is not None and control.intent.epoch in control.streams:
            span = Span(control.intent.epoch, control.intent.first, control.intent.last)
        elif (found := self._due(now, control, committed)) is None:
            return None
        else:
            span = found
        self._span = span
        self.stage = Stage.READING
        stream = control.streams[span.epoch]
        index, nonce = (span.first - 1) // stream.slots, bytes.fromhex(stream.nonce)
        return Read(Head(span.epoch, index, stream.slots, nonce), span.first, span.last)

    def _due(self, now: int, control: Control, committed: int) -> Span | None:
        for epoch, stream in sorted(control.streams.items()):
            if stream.over():
                continue
            end = committed if stream.length is None else stream.length
            first = stream.acked + 1
            _, bound = stream.part(first)
            last = min(end, first + BATCH - 1, ((first - 1) // stream.slots + 1) * stream.slots, bound or end)
            if stream.length is None:  # the live one, which comes last
                few = last - first + 1 < BATCH
                if last < first or (few and now - self._sent_at < self._every):
                    return None
            return Span(epoch, first, last)
        return None

    def made(self, control: Control, scan: Scan | None) -> None:
        """The records of the batch; None: their segment is gone."""
        assert self._span is not None and self.stage is Stage.READING
        span, stream = self._span, control.streams[self._span.epoch]
        part, bound = stream.part(span.first)
        held = rows(scan, control.names[stream.names]) if scan is not None else ()
        places = span.last - span.first + 1
        holes = len([n for n in scan.bad if n <= span.last]) if scan is not None else places
        names, old = control.names[stream.names], control.intent
        again = old is not None and (old.epoch, old.first, old.last) == span
        length = old.length if again and old is not None else bound
        batch = Batch(
            control.producer,
            names.gateway,
            span.epoch,
            part.id,
            part.first - 1,
            span.first,
            span.last,
            length,
            held,
            holes,
        )
        body = encode(batch)
        self._post = Post(batch.key, body, digest(body))
        intent = Intent(span.epoch, span.first, span.last, length, self._post.digest)
        if control.intent == intent:
            self.stage = Stage.READY
            return
        if again:
            self.alarms.append(
                f"batch {batch.key} has other bytes than when it was first sent: "
                f"{holes} of its places can't be read"
            )
        control.intent = intent
        self.dirty = True
        self.stage = Stage.NOTING

    def unread(self) -> None:
        """The disk did not give the records; asked for again later."""
        self.stage = Stage.IDLE
        self._span = None

    def saved(self) -> None:
        """The control, as it was when the save began with `dirty` cleared, is on the disk."""
        if self.stage is Stage.NOTING and not self.dirty:
            self.stage = Stage.READY

    def post(self, now: int) -> Post | None:
        """The batch, when it may go; once for each try."""
        if self.stage is Stage.RESTING and now >= self._until:
            self.stage = Stage.READY
        if self.stage is not Stage.READY:
            return None
        self.stage = Stage.SENT
        self._sent_at = now
        self.posts += 1
        return self._post

    # What came of it.

    def failed(self, now: int, why: str, retry_in: int = 0, final: bool = False) -> None:
        """No answer, or one that says nothing about the batch. `retry_in`: ns, the receiver's own advice."""
        self.stage = Stage.RESTING
        self.resent = self.resent + 1
        if why != self.trouble:
            self.alarms.append(f"export waits: {why}")
        self.trouble = why
        wait = REFUSED_WAIT if final else max(retry_in, int(self._wait * self._rng.uniform(0.5, 1.0)))
        self._until = now + wait
        self._wait = min(WAIT_MOST, 2 * self._wait)

    def answered(self, control: Control, reply: Reply) -> None:
        """Billing's word on the batch that was sent."""
        assert self._span is not None and control.intent is not None
        span, stream = self._span, control.streams[self._span.epoch]
        if self.trouble:
            self.alarms.append("export goes on")
        self.trouble = ""
        self._wait = WAIT_LEAST
        self.dirty = True
        if reply.conflict:
            self.alarms.append(
                f"billing has other bytes for places {span.first} to {span.last} of epoch "
                f"{span.epoch}: compare with `use reconcile`"
            )
        if reply.fenced:
            self._fenced(span, stream, reply)
        elif reply.taken < span.first - 1:
            self._forgotten(control, span, reply.taken)
        else:
            _, bound = stream.part(span.first)
            # A batch of a former life may lie behind places that billing is being asked about once more.
            if stream.acked >= span.first - 1:
                stream.acked = max(stream.acked, min(reply.taken, span.last if bound is None else bound))
            # A batch that was first sent while the stream was written goes again without its length.
            length_sent = control.intent.length is not None and span.first >= stream.parts[-1].first
            whole = stream.length is not None and stream.acked >= stream.length
            stream.sealed = stream.sealed or (whole and length_sent)
        control.intent = None
        self._span = None
        self._post = None
        self.stage = Stage.IDLE

    def _fenced(self, span: Span, stream: Stream, reply: Reply) -> None:
        """Some other life told an end of this stream before what is here: ours ends there too."""
        sealed = reply.sealed if reply.sealed is not None else reply.taken
        part, _ = stream.part(span.first)
        fresh = forked(part.id, sealed + 1)
        stream.parts.insert(stream.parts.index(part) + 1, Part(sealed + 1, fresh))
        stream.acked = min(stream.acked, sealed)
        self.alarms.append(
            f"epoch {span.epoch} was taken over by another life, up to place {sealed}: two "
            f"gateways have copies of one folder. What was counted here goes on as {fresh}"
        )

    def _forgotten(self, control: Control, span: Span, taken: int) -> None:
        """Billing was set back, perhaps to an old copy: it is asked about every stream that is still here,
        and about this one from its beginning, as an earlier part may have another end by now."""
        stream = control.streams[span.epoch]
        stream.acked = 0
        for each in control.streams.values():
            each.sealed = False
        self.alarms.append(
            f"billing has forgotten places {taken + 1} to {span.first - 1} of epoch "
            f"{span.epoch}: what is still here is sent again"
        )
