"""Defines how often a host calls its member."""

from __future__ import annotations

from .identifiers import MS

TICK_NS = 50 * MS  # time between two calls of `Member.tick`
