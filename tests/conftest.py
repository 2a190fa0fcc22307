"""Configuration of all tests: violated invariants raise, and known failures and sweeps are marked.

Tests that fail because of a known fault are listed in KNOWN-RED.txt, which every run prints. Of a test with
the marker `sweep(every=N)` one case in N runs, unless whole sweeps are requested (`tests/support/sweeps.py`).
"""

import collections
import pathlib

import pytest

import basaltport.placement.order_invariants as order_invariants
import tests.support.sweeps as sweeps

order_invariants.InvariantChecks.strict = True
KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_RED = 1


def known_red() -> dict[str, str]:
    """Returns the cause and issue of each listed test; a line of the list is `TEST: CAUSE: ISSUE`."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    return {line.split(": ", 1)[0]: line.split(": ", 1)[1] for line in lines}


def pytest_configure(config: pytest.Config) -> None:
    """Register the marker `sweep`."""
    config.addinivalue_line("markers", "sweep(every): one case in so many is played in CI")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect the cases of sweeps that do not run in CI, and expect the listed tests to fail."""
    expect_known_red(items)
    if not sweeps.is_whole():
        deselected = cases_not_in_ci(items)
        config.hook.pytest_deselected(items=deselected)
        dropped = set(deselected)
        items[:] = [item for item in items if item not in dropped]


def cases_not_in_ci(items: list[pytest.Item]) -> list[pytest.Item]:
    """Returns the cases of sweeps that do not run in CI."""
    indices: collections.Counter[str] = collections.Counter()
    deselected = []
    for item in items:
        marker = item.get_closest_marker("sweep")
        if marker is None:
            continue
        name = item.nodeid.partition("[")[0]
        if not sweeps.is_played(indices[name], marker.kwargs["every"]):
            deselected.append(item)
        indices[name] += 1
    return deselected


def expect_known_red(items: list[pytest.Item]) -> None:
    """Mark the listed tests as strictly expected failures: one that passes must be removed from the list."""
    listed = known_red()
    assert len(listed) <= MAX_KNOWN_RED, f"more than {MAX_KNOWN_RED} lines in {KNOWN_RED.name}"
    for item in items:
        reason = listed.get(item.nodeid.split("[")[0])
        if reason is not None:
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list, so that a run with known failures is not mistaken for one without."""
    for test, reason in known_red().items():
        terminalreporter.write_line(f"KNOWN RED {test}: {reason}")
