"""The rules of the house that can be read off the files."""

import ast
import pathlib

ROOT = pathlib.Path(__file__).parent.parent
GLOBS = ("basaltport/**/*.py", "platform/*.py", "tests/*.py")
FILES = [f for g in GLOBS for f in sorted(ROOT.glob(g))]


def test_no_file_is_over_400_lines():
    assert [f.name for f in FILES if len(f.read_text().splitlines()) > 400] == []


def test_there_are_no_from_imports():
    for f in FILES:
        assert not [n.lineno for n in ast.walk(ast.parse(f.read_text())) if isinstance(n, ast.ImportFrom)], f
