"""Mutants that change nothing that anybody is promised, each with its reason: read one by one, not counted.

`equivalent.toml` holds them by module and by the lines before and after, so that they outlive moves of
lines. An entry that no mutant of its module bears any more is an error: the list must not grow stale.
"""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

FILE = Path(__file__).with_name("equivalent.toml")


class Equivalent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One mutant: `before` and `after` as `Mutant` has them."""

    module: str
    before: str
    after: str
    reason: str


class _Listed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    mutants: list[Equivalent]


def load(file: Path = FILE) -> dict[tuple[str, str, str], str]:
    """Reasons, by module, before and after; raises `ValueError` with one plain line."""
    try:
        listed = msgspec.convert(tomllib.loads(file.read_text()), _Listed).mutants
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ValueError(f"{file.name}: {error}") from None
    made = {(each.module, each.before, each.after): each.reason for each in listed}
    if len(made) < len(listed):
        raise ValueError(f"{file.name}: a mutant stands twice")
    if bare := next((each for each in listed if len(each.reason.split()) < 4), None):
        raise ValueError(f"{file.name}: {bare.module}: {bare.after!r} wants a reason in a few words")
    return made
