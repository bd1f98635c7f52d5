"""Tests that the README's embedding example runs as printed."""

from __future__ import annotations

import re
from pathlib import Path

import pytest


def test_embedding_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parents[2] / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(code, {})
    printed = capsys.readouterr().out.splitlines()
    assert printed[1].startswith("[StartAttempt(request=1, backend=1")
    assert printed[2] == "[]"
