"""Reads the list of mutants that change no specified behaviour, each reviewed and with its reason.

These mutants are not counted. `equivalent.toml` identifies them by module and by the lines before and after,
so that entries stay valid when lines move. An entry that no longer matches a mutant of its module is an
error.
"""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

DEFAULT_FILE = Path(__file__).with_name("equivalent.toml")
MIN_REASON_WORDS = 4


class Equivalent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds one entry of the list; `before` and `after` are those of `Mutant`."""

    module: str
    before: str
    after: str
    reason: str


class _EquivalentList(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    mutants: list[Equivalent]


def load(file: Path = DEFAULT_FILE) -> dict[tuple[str, str, str], str]:
    """Returns the reasons by module, before and after; raises `ValueError` with a text of one line."""
    try:
        entries = msgspec.convert(tomllib.loads(file.read_text()), _EquivalentList).mutants
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ValueError(f"{file.name}: {error}") from None
    reasons = {(entry.module, entry.before, entry.after): entry.reason for entry in entries}
    if len(reasons) < len(entries):
        raise ValueError(
            f"{file.name}: each mutant must be listed once, got {len(entries) - len(reasons)} repeated"
        )
    for entry in entries:
        if len(entry.reason.split()) < MIN_REASON_WORDS:
            text = f"reason must have at least {MIN_REASON_WORDS} words, got {entry.reason!r}"
            raise ValueError(f"{file.name}: {entry.module}: {entry.after!r}: {text}")
    return reasons
