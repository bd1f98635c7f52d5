"""Names are the field's: a glossary with each term once, and no withdrawn word where the code is done."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
# Words of the earlier house style: docs/GLOSSARY.md has the field's.
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
# The operators' list of plain words, each of which has a term of the field.
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
# What is done, as folders and files of the program: this only gets longer.
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
    """Rows of the glossary: its terms and its modules, as they are written."""
    lines = (ROOT / "docs/GLOSSARY.md").read_text().splitlines()
    rows = [[cell.strip() for cell in line.split("|")[1:-1]] for line in lines if line.startswith("|")]
    return [(term, modules) for term, _, modules in rows if modules != "Module" and set(term) != {"-"}]


def test_the_glossary_has_each_term_once() -> None:
    terms = [term for terms, _ in glossary() for term in terms.split(", ")]
    assert len(terms) > 50 and len(terms) == len(set(terms))


def test_the_glossary_names_modules_that_are_there() -> None:
    named = {path for _, modules in glossary() for path in re.findall(r"`([^`]+)`", modules)}
    assert named and not {path for path in named if not (ROOT / path).is_file()}
    assert all("`" in modules for _, modules in glossary())


def test_the_glossary_has_the_words_of_the_pages() -> None:
    words = {term for terms, _ in glossary() for term in terms.split(", ")}
    assert words >= PAGES_WORDS


def done_files() -> list[Path]:
    places = [ROOT / "trackspread" / name for name in DONE]
    assert all(place.exists() for place in places)
    return sorted(path for place in places for path in (place.glob("**/*.py") if place.is_dir() else [place]))


def words_of(name: str) -> set[str]:
    """Parts of a name in either case, in the singular."""
    parts = re.findall(r"[A-Z]+(?![a-z])|[A-Z]?[a-z0-9]+", name)
    return {part.lower() for part in parts} | {part.lower().removesuffix("s") for part in parts}


def public_names(text: str) -> set[str]:
    """Classes, and functions and methods without a leading underscore, of a module's text."""
    kinds = ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef
    names = {node.name for node in ast.walk(ast.parse(text)) if isinstance(node, kinds)}
    return {name for name in names if not name.startswith("_") or name[1:2].isupper()}


@pytest.mark.parametrize("path", done_files(), ids=lambda p: str(p.relative_to(ROOT / "trackspread")))
def test_no_withdrawn_word_is_in_a_module_class_or_public_function(path: Path) -> None:
    names = public_names(path.read_text()) | {path.stem, path.parent.name}
    assert not {name for name in names if words_of(name) & WITHDRAWN}


def test_a_withdrawn_word_is_found_in_either_case_and_in_the_plural() -> None:
    text = "class PlanBook:\n    async def rumours_of(self): ...\ndef _told(): ..."
    assert public_names(text) == {"PlanBook", "rumours_of"}
    assert words_of("PlanBook") & WITHDRAWN == {"book"} and words_of("rumours_of") & WITHDRAWN == {"rumour"}
    assert words_of("HTTPKeeper") & WITHDRAWN == {"keeper"}
    assert not words_of("booked_ahead") & WITHDRAWN and not words_of("handover_state") & WITHDRAWN
