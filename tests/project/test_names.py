"""Tests that names are terms of the field.

The glossary has each term once, and the folders in `DONE` have no withdrawn word in their names.
"""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
# Words of the earlier naming style. docs/GLOSSARY.md has the terms of the field that replace them.
WITHDRAWN = frozenset(
    {
        "beat",
        "book",
        "deed",
        "desk",
        "elder",
        "estate",
        "gathering",
        "happening",
        "heir",
        "home",
        "inheritance",
        "keeper",
        "letter",
        "moment",
        "people",
        "rumour",
        "seat",
        "shelf",
        "survey",
        "tally",
        "testator",
        "told",
        "witness",
        "word",
    }
)
# The operators' list of plain words. The glossary has a term of the field for each of them.
PAGES_WORDS = frozenset(
    {
        "turned away",
        "sent on",
        "try",
        "further try",
        "second copy",
        "safe to repeat",
        "keyed",
        "told",
        "whole",
        "drains",
        "leaves",
        "cold",
        "ramp",
        "fail-back",
        "aim",
        "worth",
        "trouble",
        "bad server",
        "thrown out",
        "probe",
        "report",
        "the list",
        "news",
        "ask",
        "a pause that grows",
        "a wait that was told",
        "room",
        "share",
        "let in",
        "refuse",
        "peers' word",
        "holder of a duty",
        "life",
        "kept",
        "held",
        "pinned",
        "move",
    }
)
# Folders and files of the program without withdrawn words: this only gets longer.
DONE = (
    "backends",
    "cells",
    "cli.py",
    "commands",
    "config",
    "control",
    "counter",
    "decide",
    "distribution",
    "fronts",
    "handover",
    "lists",
    "logs.py",
    "membership",
    "node",
    "peers",
    "planning",
    "plans",
    "simulator",
    "storage",
    "testing/judge",
    "testing/mutation",
    "testing/virtual/cells",
    "testing/virtual/clock.py",
    "testing/virtual/distribution",
    "testing/virtual/exchange.py",
    "testing/virtual/explorer.py",
    "testing/virtual/fleet.py",
    "testing/virtual/handover",
    "testing/virtual/host.py",
    "testing/virtual/large_fleets.py",
    "testing/virtual/mutants.py",
    "testing/virtual/patches.py",
    "testing/virtual/plain_settings.py",
    "testing/virtual/processes.py",
    "testing/virtual/quota_accuracy.py",
    "testing/virtual/reservations.py",
    "testing/virtual/schedules.py",
    "testing/virtual/slow_start.py",
    "testing/virtual/usage",
    "usage",
)


def glossary() -> list[tuple[str, str]]:
    """Returns the terms and the modules of each row of the glossary, as they are written."""
    lines = (ROOT / "docs/GLOSSARY.md").read_text().splitlines()
    rows = [[cell.strip() for cell in line.split("|")[1:-1]] for line in lines if line.startswith("|")]
    return [(term, modules) for term, _, modules in rows if modules != "Module" and set(term) != {"-"}]


def test_glossary_has_each_term_once() -> None:
    terms = [term for terms, _ in glossary() for term in terms.split(", ")]
    assert len(terms) > 50 and len(terms) == len(set(terms))


def test_glossary_names_existing_modules() -> None:
    named = {path for _, modules in glossary() for path in re.findall(r"`([^`]+)`", modules)}
    assert named and not {path for path in named if not (ROOT / path).is_file()}
    assert all("`" in modules for _, modules in glossary())


def test_glossary_has_the_words_of_the_pages() -> None:
    words = {term for terms, _ in glossary() for term in terms.split(", ")}
    assert words >= PAGES_WORDS


def done_files() -> list[Path]:
    """Returns every module of the entries of `DONE`."""
    places = [ROOT / "trackspread" / name for name in DONE]
    assert all(place.exists() for place in places)
    return sorted(path for place in places for path in (place.glob("**/*.py") if place.is_dir() else [place]))


def words_of(name: str) -> set[str]:
    """Returns the parts of a name in lower case, each as written and in the singular."""
    parts = re.findall(r"[A-Z]+(?![a-z])|[A-Z]?[a-z0-9]+", name)
    return {part.lower() for part in parts} | {part.lower().removesuffix("s") for part in parts}


def public_names(text: str) -> set[str]:
    """Returns the names of the classes and public functions in a module's text."""
    kinds = ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef
    names = {node.name for node in ast.walk(ast.parse(text)) if isinstance(node, kinds)}
    return {name for name in names if not name.startswith("_") or name[1:2].isupper()}


@pytest.mark.parametrize("path", done_files(), ids=lambda p: str(p.relative_to(ROOT / "trackspread")))
def test_public_names_have_no_withdrawn_word(path: Path) -> None:
    """Checks the module, its folder, its classes and its public functions."""
    names = public_names(path.read_text()) | {path.stem, path.parent.name}
    assert not {name for name in names if words_of(name) & WITHDRAWN}


def test_withdrawn_word_is_found_in_any_form() -> None:
    """Names in either case and in the plural are found; words that only contain one are not."""
    text = "class PlanBook:\n    async def rumours_of(self): ...\ndef _told(): ..."
    assert public_names(text) == {"PlanBook", "rumours_of"}
    assert words_of("PlanBook") & WITHDRAWN == {"book"} and words_of("rumours_of") & WITHDRAWN == {"rumour"}
    assert words_of("HTTPKeeper") & WITHDRAWN == {"keeper"}
    assert not words_of("booked_ahead") & WITHDRAWN and not words_of("handover_state") & WITHDRAWN
