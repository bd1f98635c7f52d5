"""Selects the batch that is sent to billing next, and acts on billing's replies.

- Only committed records are sent, in order of slots, one batch at a time, the oldest stream first.
- The intent to send a batch is on the disk before the batch is first sent. The same slots are sent again,
  also after a crash, until billing replies.
- Only `Reply.taken` moves the watermark; it moves back if billing has lost records.
- The length of a closed stream is sent with its last batch, or alone. Only the reply to a batch that has the
  length seals the stream, and a sealed stream can't be extended.
- A stream that billing has fenced is sent as before up to the seal, because the same slots have the same
  records in every copy of the folder. The records after the seal are exported as a new stream under a derived
  name.
- A rejection that a retry can't resolve raises an alarm. It is retried all the same, after a long pause.
"""

from __future__ import annotations

import hashlib
import random
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from ..storage.calls import Read
from ..storage.slots import Scan, SegmentHeader
from .batch import Batch, Reply, digest, encode, rows
from .control import Checkpoint, Intent, Part, Stream

SECOND = 1_000_000_000
BATCH_SLOTS = 1024  # limit for one batch: about 120 kB of JSON and two or three ms of the event loop
MIN_BACKOFF_NS = SECOND // 4
MAX_BACKOFF_NS = 60 * SECOND
REJECTED_BACKOFF_NS = 60 * SECOND  # pause after a reply that a retry can't resolve
MIN_JITTER = 0.5  # lowest factor on the backoff
STREAM_ID_BYTES = 16


class Stage(Enum):
    """Names the stage of the current batch.

    - IDLE: there is no batch.
    - READING: its records are being read.
    - SAVING_INTENT: the intent to send it is not on the disk yet.
    - READY: it may be sent.
    - SENT: billing's reply is pending.
    - BACKING_OFF: the attempt failed and is retried later.
    """

    IDLE = "idle"
    READING = "reading"
    SAVING_INTENT = "saving intent"
    READY = "ready"
    SENT = "sent"
    BACKING_OFF = "backing off"


@dataclass(frozen=True, slots=True)
class Post:
    """Holds an encoded batch with its idempotency key and the SHA-256 of the body."""

    key: str
    body: bytes
    digest: str


class SlotRange(NamedTuple):
    """Identifies slots `first` to `last` of a stream."""

    epoch: int
    first: int
    last: int


def continuation_stream_id(stream: str, first: int) -> str:
    """Returns the name under which a fenced stream continues from slot `first`.

    All processes that have a copy of these records derive the same name, so billing accepts the records once,
    from whichever process they come.
    """
    name = f"{stream}:{first}".encode()
    return hashlib.blake2b(name, digest_size=STREAM_ID_BYTES).hexdigest()


class Exporter:
    """Holds the state of the current batch.

    It sets `dirty` when it changes the checkpoint, so that the ledger saves it. `alarms` are lines for
    operators. `last_error` is the error of the last attempt, empty after a success.
    """

    def __init__(self, batch_delay_ns: int, rng: random.Random) -> None:
        """Creates an idle exporter; a batch that is not full waits `batch_delay_ns` for more records."""
        self.stage = Stage.IDLE
        self.dirty = False
        self.alarms: list[str] = []
        self.last_error = ""
        self._batch_delay_ns = batch_delay_ns
        self._rng = rng
        self._range: SlotRange | None = None
        self._post: Post | None = None
        self._retry_at_ns = 0
        self._backoff_ns = MIN_BACKOFF_NS
        self._sent_at_ns = 0

    def next_read(self, now: int, checkpoint: Checkpoint, committed: int) -> Read | None:
        """Returns the read of the records for a new batch, or None if none is due.

        `now` is in ns; `committed` is the last committed slot of the stream that is written.
        """
        if self.stage is not Stage.IDLE:
            return None
        intent = checkpoint.intent
        if intent is not None and intent.epoch in checkpoint.streams:
            slots: SlotRange | None = SlotRange(intent.epoch, intent.first, intent.last)
        else:
            slots = self._next_range(now, checkpoint, committed)
        if slots is None:
            return None
        self._range = slots
        self.stage = Stage.READING
        stream = checkpoint.streams[slots.epoch]
        index = (slots.first - 1) // stream.slots
        header = SegmentHeader(slots.epoch, index, stream.slots, bytes.fromhex(stream.nonce))
        return Read(header, slots.first, slots.last)

    def _next_range(self, now: int, checkpoint: Checkpoint, committed: int) -> SlotRange | None:
        for epoch, stream in sorted(checkpoint.streams.items()):
            if stream.is_exported():
                continue
            end = committed if stream.length is None else stream.length
            first = stream.acked + 1
            part_end = stream.part(first).last
            segment_end = ((first - 1) // stream.slots + 1) * stream.slots
            last = min(end, first + BATCH_SLOTS - 1, segment_end, part_end or end)
            if stream.length is None:  # the stream that is written, which comes last
                is_full = last - first + 1 >= BATCH_SLOTS
                if last < first or (not is_full and now - self._sent_at_ns < self._batch_delay_ns):
                    return None
            return SlotRange(epoch, first, last)
        return None

    def records_read(self, checkpoint: Checkpoint, scan: Scan | None) -> None:
        """Builds the batch from the records that were read; `scan` is None if their segment is missing."""
        assert self._range is not None and self.stage is Stage.READING
        slots, previous = self._range, checkpoint.intent
        is_repeat = previous is not None and (previous.epoch, previous.first, previous.last) == slots
        length = checkpoint.streams[slots.epoch].part(slots.first).last
        if is_repeat and previous is not None:
            length = previous.length
        batch = _batch(checkpoint, slots, length, scan)
        body = encode(batch)
        self._post = Post(batch.key, body, digest(body))
        intent = Intent(slots.epoch, slots.first, slots.last, length, self._post.digest)
        if previous == intent:
            self.stage = Stage.READY
            return
        if is_repeat:
            self.alarms.append(
                f"batch {batch.key} differs from when it was first sent: "
                f"{batch.holes} of its slots can't be read"
            )
        checkpoint.intent = intent
        self.dirty = True
        self.stage = Stage.SAVING_INTENT

    def read_failed(self) -> None:
        """Returns to the idle stage, as the records could not be read and are to be read again."""
        self.stage = Stage.IDLE
        self._range = None

    def checkpoint_saved(self) -> None:
        """Notes that the checkpoint is on the disk as it was when `dirty` was last cleared."""
        if self.stage is Stage.SAVING_INTENT and not self.dirty:
            self.stage = Stage.READY

    def next_post(self, now: int) -> Post | None:
        """Returns the batch if it is to be sent now, once per attempt; `now` is in ns."""
        if self.stage is Stage.BACKING_OFF and now >= self._retry_at_ns:
            self.stage = Stage.READY
        if self.stage is not Stage.READY:
            return None
        self.stage = Stage.SENT
        self._sent_at_ns = now
        return self._post

    def send_failed(self, now: int, reason: str, retry_after_ns: int = 0, final: bool = False) -> None:
        """Starts the backoff after a failed attempt.

        Billing was not reached, did not reply, or replied with an error. `retry_after_ns` is the receiver's
        Retry-After; `final` says that a retry can't resolve the error.
        """
        self.stage = Stage.BACKING_OFF
        if reason != self.last_error:
            self.alarms.append(f"export paused: {reason}")
        self.last_error = reason
        if final:
            pause_ns = REJECTED_BACKOFF_NS
        else:
            pause_ns = max(retry_after_ns, int(self._backoff_ns * self._rng.uniform(MIN_JITTER, 1.0)))
        self._retry_at_ns = now + pause_ns
        self._backoff_ns = min(MAX_BACKOFF_NS, 2 * self._backoff_ns)

    def reply_received(self, checkpoint: Checkpoint, reply: Reply) -> None:
        """Handles billing's reply to the batch that was sent."""
        assert self._range is not None and checkpoint.intent is not None
        slots, stream = self._range, checkpoint.streams[self._range.epoch]
        if self.last_error:
            self.alarms.append("export resumed")
        self.last_error = ""
        self._backoff_ns = MIN_BACKOFF_NS
        self.dirty = True
        if reply.conflict:
            self.alarms.append(
                f"billing has other records for slots {slots.first} to {slots.last} of epoch "
                f"{slots.epoch}: compare with `trackspread use reconcile`"
            )
        if reply.fenced:
            self._fence(slots, stream, reply)
        elif reply.taken < slots.first - 1:
            self._rewind(checkpoint, slots, reply.taken)
        else:
            _acknowledge(stream, slots, checkpoint.intent, reply.taken)
        checkpoint.intent = None
        self._range = None
        self._post = None
        self.stage = Stage.IDLE

    def _fence(self, slots: SlotRange, stream: Stream, reply: Reply) -> None:
        """Splits the stream at the seal, as another incarnation has sealed it before its end here."""
        sealed = reply.sealed if reply.sealed is not None else reply.taken
        part = stream.part(slots.first).part
        name = continuation_stream_id(part.id, sealed + 1)
        stream.parts.insert(stream.parts.index(part) + 1, Part(sealed + 1, name))
        stream.acked = min(stream.acked, sealed)
        self.alarms.append(
            f"another process sealed epoch {slots.epoch} at slot {sealed}: two gateways use copies of one "
            f"folder; later records of this one are exported as stream {name}"
        )

    def _rewind(self, checkpoint: Checkpoint, slots: SlotRange, taken: int) -> None:
        """Moves the watermark back, as billing has lost records, for example by a restore from a backup.

        All streams are checked with billing again, and this one from its first slot, because an earlier part
        of it may have another end by now.
        """
        checkpoint.streams[slots.epoch].acked = 0
        for stream in checkpoint.streams.values():
            stream.sealed = False
        self.alarms.append(
            f"billing has lost slots {taken + 1} to {slots.first - 1} of epoch {slots.epoch}: the records "
            "that are still here are sent again"
        )


def _batch(checkpoint: Checkpoint, slots: SlotRange, length: int | None, scan: Scan | None) -> Batch:
    """Returns the batch with the records in `scan`; without a scan all of its slots are holes."""
    stream = checkpoint.streams[slots.epoch]
    names = checkpoint.names[stream.names]
    part = stream.part(slots.first).part
    slot_count = slots.last - slots.first + 1
    return Batch(
        checkpoint.producer,
        names.gateway,
        slots.epoch,
        part.id,
        part.first - 1,
        slots.first,
        slots.last,
        length,
        rows(scan, names) if scan is not None else (),
        sum(slot <= slots.last for slot in scan.bad) if scan is not None else slot_count,
    )


def _acknowledge(stream: Stream, slots: SlotRange, intent: Intent, taken: int) -> None:
    """Advances the watermark to `taken`, up to which billing has the slots, and seals a complete stream."""
    part_end = stream.part(slots.first).last
    # After a rewind this batch may be ahead of slots that are checked with billing again.
    if stream.acked >= slots.first - 1:
        stream.acked = max(stream.acked, min(taken, slots.last if part_end is None else part_end))
    # A batch that was first sent while the stream was written is sent again without the length.
    has_length = intent.length is not None and slots.first >= stream.parts[-1].first
    is_complete = stream.length is not None and stream.acked >= stream.length
    stream.sealed = stream.sealed or (is_complete and has_length)
