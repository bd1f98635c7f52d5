"""Mutants that change no specified behaviour, each with its reason: reviewed one by one, not counted.

`equivalent.toml` identifies them by module and by the lines before and after, so that they survive moves of
lines. An entry that matches no mutant of its module any more is an error.
"""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

DEFAULT_FILE = Path(__file__).with_name("equivalent.toml")


MIN_REASON_WORDS = 4


class Equivalent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One entry of the list; `before` and `after` as in `Mutant`."""

    module: str
    before: str
    after: str
    reason: str


class _EquivalentList(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    mutants: list[Equivalent]


def load(file: Path = DEFAULT_FILE) -> dict[tuple[str, str, str], str]:
    """The reasons by module, before and after; raises `ValueError` with a text of one line."""
    try:
        entries = msgspec.convert(tomllib.loads(file.read_text()), _EquivalentList).mutants
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ValueError(f"{file.name}: {error}") from None
    reasons = {(entry.module, entry.before, entry.after): entry.reason for entry in entries}
    if len(reasons) < len(entries):
        raise ValueError(f"{file.name}: a mutant stands twice")
    for entry in entries:
        if len(entry.reason.split()) < MIN_REASON_WORDS:
            raise ValueError(f"{file.name}: {entry.module}: {entry.after!r} wants a reason in a few words")
    return reasons
