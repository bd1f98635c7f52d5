"""Turns msgspec's validation errors into lines with the key, what was found and what is wanted."""

from __future__ import annotations

import difflib
import re
from typing import Any

import msgspec

_MESSAGE = re.compile(r"^(?P<what>.*?)(?: - at `\$\.?(?P<path>.*)`)?$")
_UNKNOWN_KEY = re.compile(r"Object contains unknown field `(.*)`")
_MISSING_KEY = re.compile(r"Object missing required field `(.*)`")
_WRONG_TYPE = re.compile(r"Expected `(.*)`, got `.*`")
_PATH_STEP = re.compile(r"\[(\d+)\]|([^.\[\]]+)")


def error_line(message: str, raw: dict[str, Any], root: type[msgspec.Struct]) -> str:
    """Returns the line for a message of msgspec about `raw`, which was to become a `root`."""
    match = _MESSAGE.match(message)
    what, path = (match["what"], match["path"] or "") if match else (message, "")
    prefix = f"{path}." if path else ""
    if unknown := _UNKNOWN_KEY.fullmatch(what):
        return f"{prefix}{unknown[1]}: found an unknown key, {_suggestion(unknown[1], _keys(path, root))}"
    if missing := _MISSING_KEY.fullmatch(what):
        return f"{prefix}{missing[1]}: found nothing, wanted a value"
    found = _value_at(path, raw)
    if what.startswith("Invalid enum value"):
        return f"{path}: found {found!r}, wanted one of {', '.join(map(repr, _choices(path, root)))}"
    wrong = _WRONG_TYPE.fullmatch(what)
    wanted = wrong[1] if wrong else what.removeprefix("Expected ").replace("`", "")
    return f"{path}: found {found!r}, wanted {wanted}"


def _suggestion(key: str, known: list[str]) -> str:
    similar = difflib.get_close_matches(key, known, 1)
    return f"did you mean {similar[0]}?" if similar else f"wanted one of {', '.join(known)}"


def _value_at(path: str, raw: Any) -> Any:
    for index, key in _PATH_STEP.findall(path):
        raw = raw[int(index)] if index else raw[key]
    return raw


def _type_at(path: str, root: type[msgspec.Struct]) -> msgspec.inspect.Type:
    found: msgspec.inspect.Type = msgspec.inspect.type_info(root)
    for index, key in _PATH_STEP.findall(path):
        if index and isinstance(found, msgspec.inspect.VarTupleType):
            found = found.item_type
        elif isinstance(found, msgspec.inspect.StructType):
            found = next(field.type for field in found.fields if field.encode_name == key)
    return found


def _keys(path: str, root: type[msgspec.Struct]) -> list[str]:
    found = _type_at(path, root)
    if not isinstance(found, msgspec.inspect.StructType):
        return []
    return [field.encode_name for field in found.fields]


def _choices(path: str, root: type[msgspec.Struct]) -> tuple[Any, ...]:
    found = _type_at(path, root)
    return found.values if isinstance(found, msgspec.inspect.LiteralType) else ()
