"""The deploy file names the system packages that its build command calls, each with its reason."""

import pathlib
import re
import shlex
import tomllib

ROOT = pathlib.Path(__file__).parent.parent.parent
DEPLOY = ROOT / "deploy" / "system.toml"
PACKAGE_OF_PROGRAM = {"python3": "python3", "pip": "python3-pip", "venv": "python3-venv"}
ALWAYS_THERE = {"[", "touch"}
"""Of the shell and of coreutils, which every Debian system has."""
COMPILERS = re.compile(r"gcc|g\+\+|clang|build-essential|-dev$")


def read():
    return tomllib.loads(DEPLOY.read_text())


def programs(command):
    """The program of each command of a shell line, and the modules that Python is told to run."""
    found = set()
    for part in re.split(r"\|\||&&|;|\{|\}", command):
        words = shlex.split(part)
        found.update(words[:1])
        if "-m" in words:
            found.add(words[words.index("-m") + 1])
    return found


def test_packages_stand_beside_build_and_are_what_the_commands_call():
    deploy = read()
    called = programs(deploy["build"])
    for role in deploy["roles"].values():
        called |= programs(role["run"])
    assert set(deploy["packages"]) == {PACKAGE_OF_PROGRAM[name] for name in called - ALWAYS_THERE}
    assert len(deploy["packages"]) == len(set(deploy["packages"]))


def test_each_package_has_its_reason_on_the_line_above():
    lines = DEPLOY.read_text().splitlines()
    for package in read()["packages"]:
        above = lines[lines.index(f'  "{package}",') - 1]
        assert re.match(r"  # \w", above), package


def test_a_clean_build_needs_no_compiler():
    deploy = read()
    assert not [package for package in deploy["packages"] if COMPILERS.search(package)]
    assert " --only-binary :all: " in deploy["build"]
