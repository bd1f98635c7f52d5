"""Names are the field's: the glossary holds each term once, with a module that is there."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent


def glossary() -> list[tuple[str, str]]:
    """Rows of the glossary: its terms and its modules, as they are written."""
    lines = (ROOT / "docs/GLOSSARY.md").read_text().splitlines()
    rows = [[cell.strip() for cell in line.split("|")[1:-1]] for line in lines if line.startswith("|")]
    return [(term, modules) for term, _, modules in rows if term != "Term" and set(term) != {"-"}]


def test_the_glossary_has_each_term_once() -> None:
    terms = [term for terms, _ in glossary() for term in terms.split(", ")]
    assert len(terms) > 50 and len(terms) == len(set(terms))


def test_the_glossary_names_modules_that_are_there() -> None:
    named = {path for _, modules in glossary() for path in re.findall(r"`([^`]+)`", modules)}
    assert named and not {path for path in named if not (ROOT / path).is_file()}
    assert all("`" in modules for _, modules in glossary())
