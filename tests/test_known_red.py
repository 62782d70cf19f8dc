"""The list of tests that are known to fail lets a run pass over exactly those, and says so."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SUITE = "def test_red(): assert False\ndef test_green(): pass\ndef test_other(): assert {other}\n"


def played(folder, lines, other=True, *args):
    """A run of a small suite beside such a list: (exit code, output)."""
    tests = folder / "tests"
    tests.mkdir()
    (tests / "conftest.py").write_text((ROOT / "tests/conftest.py").read_text())
    (tests / "test_small.py").write_text(SUITE.format(other=other))
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    if lines is not None:
        (folder / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *args],
        cwd=folder,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
    )
    return run.returncode, run.stdout + run.stderr


def entry(test):
    return f"{test} | pytest {test} | 7 | the clock of a stand-in stood still | 12"


RED = entry("tests/test_small.py::test_red")


def test_what_is_listed_may_fail_and_is_printed(tmp_path):
    code, said = played(tmp_path, [RED])
    assert code == 0 and "1 xfailed" in said and "2 passed" in said
    assert (
        "known red: tests/test_small.py::test_red: the clock of a stand-in stood still "
        "(issue 12; seed 7; pytest tests/test_small.py::test_red)"
    ) in said


@pytest.mark.parametrize(
    "lines, other, why",
    [
        (None, True, "1 failed"),
        ([RED], False, "1 failed"),
        ([RED, entry("tests/test_small.py::test_green")], True, "XPASS(strict)"),
        (
            [RED, entry("tests/test_small.py::test_gone")],
            True,
            "no such test: tests/test_small.py::test_gone",
        ),
        ([RED, entry("tests/test_none.py::test_gone")], True, "no such test: tests/test_none.py::test_gone"),
        ([RED, entry("tests/test_small.py")], True, "no such test: tests/test_small.py"),
        ([RED, RED], True, "named twice"),
        (["tests/test_small.py::test_red"], True, "KNOWN-RED.txt:1"),
        ([RED, entry("tests/test_small.py::test_other").replace("7", "")], False, "KNOWN-RED.txt:2"),
        ([entry("t::a").replace("pytest t::a", "pytest")], True, "does not name t::a"),
        ([entry("t::a").replace("12", "later")], True, "'later' is not the number of an issue"),
    ],
    ids=[
        "not listed",
        "another",
        "passes",
        "gone",
        "no file",
        "a file",
        "twice",
        "test alone",
        "no seed",
        "another command",
        "no issue",
    ],
)
def test_whatever_else_is_wrong_fails_the_run(tmp_path, lines, other, why):
    code, said = played(tmp_path, lines, other)
    assert code != 0 and why in said


def test_any_number_of_entries_stands_each_by_itself(tmp_path):
    scripts = [f"cases/{number}/run.sh" for number in range(5)]
    for script in scripts:
        (tmp_path / script).parent.mkdir(parents=True)
        (tmp_path / script).touch()
    code, said = played(tmp_path, [RED, *map(entry, scripts)])
    assert code == 0 and "1 xfailed" in said
    assert all(f"known red: {script}: " in said for script in scripts)


def test_a_part_of_the_suite_may_be_run_by_name(tmp_path):
    code, said = played(tmp_path, [RED], True, "tests/test_small.py::test_green")
    assert code == 0 and "1 passed" in said


def test_the_projects_own_list_can_be_read():
    run = subprocess.run(
        [
            sys.executable,
            "-m",
            "pytest",
            "-q",
            "--collect-only",
            "-p",
            "no:cacheprovider",
            "tests/test_known_red.py",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert run.returncode == 0, run.stdout + run.stderr
