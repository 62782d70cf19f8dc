"""Tests known to fail: KNOWN-RED.txt at the root, a line each as
`test | command | seed | what was seen | issue` (seed: "none" where the test draws nothing).

Exactly these tests may fail, and are printed with every run. An entry fails the run if its test passes, if
it names no test, if its test is named twice, if its command does not name that test, or if its line can't be
read.
"""

from dataclasses import dataclass

import pytest

FILE = "KNOWN-RED.txt"
FORM = "test | command | seed | what was seen | issue"


@dataclass(frozen=True)
class Entry:
    """A test that is known to fail."""

    test: str
    command: str
    seed: str
    seen: str
    issue: str

    def __str__(self):
        return f"{self.seen} (issue {self.issue}; seed {self.seed}; {self.command})"


def read(path):
    """The entries of a file, none if it is not there; raises UsageError."""
    if not path.exists():
        return []
    entries = []
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split(" | ")]
        if len(fields) != len(FORM.split(" | ")) or not all(fields):
            raise pytest.UsageError(f"{FILE}:{number}: not '{FORM}'")
        entry = Entry(*fields)
        if entry.test not in entry.command:
            raise pytest.UsageError(f"{FILE}:{number}: the command does not name {entry.test}")
        if not entry.issue.isdecimal():
            raise pytest.UsageError(f"{FILE}:{number}: {entry.issue!r} is not the number of an issue")
        entries.append(entry)
    if len({entry.test for entry in entries}) < len(entries):
        raise pytest.UsageError(f"{FILE}: a test is named twice")
    return entries


def unnamed(entries, items, root):
    """The entries that name no test, of those whose file was collected or does not exist."""
    tests = {item.nodeid for item in items}
    files = {test.partition("::")[0] for test in tests}
    return [
        entry.test
        for entry in entries
        if entry.test not in tests
        and (entry.test.partition("::")[0] in files or not (root / entry.test.partition("::")[0]).is_file())
    ]


def pytest_configure(config):
    config.known_red = read(config.rootpath / FILE)


@pytest.hookimpl(tryfirst=True)  # before tests are deselected by name or mark
def pytest_collection_modifyitems(config, items):
    chosen_by_name = any("::" in arg for arg in config.args)
    if not chosen_by_name and (wrong := unnamed(config.known_red, items, config.rootpath)):
        raise pytest.UsageError(f"{FILE}: no such test: {', '.join(wrong)}")
    known = {entry.test: entry for entry in config.known_red}
    for item in items:
        if entry := known.get(item.nodeid):
            item.add_marker(pytest.mark.xfail(strict=True, reason=str(entry)))


def pytest_terminal_summary(terminalreporter, config):
    for entry in config.known_red:
        terminalreporter.write_line(f"known red: {entry.test}: {entry}")
