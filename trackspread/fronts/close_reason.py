"""Names why a client's connection ended, for counters."""

from __future__ import annotations

from enum import StrEnum


class CloseReason(StrEnum):
    """Enumerates the reasons; the values are names of counters."""

    CLIENT_LEFT = "client_left"
    IDLE = "idle"
    EVICTED = "evicted"  # to make room for a new connection
    NO_ROOM = "no_room"  # a new connection, while no other could be evicted
    PROTOCOL_ERROR = "protocol_error"
    BACKLOG = "backlog"  # it held the most of too much unprocessed input
    MEMORY = "memory"  # it held the most when memory ran short
    UNREAD = "unread"  # the client did not read its answers
    INCOMPLETE_VALUE = "incomplete_value"  # a long value could not be completed
    HANDED_OVER = "handed_over"
    SHUTDOWN = "shutdown"
    INTERNAL_ERROR = "internal_error"
