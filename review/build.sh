#!/bin/sh
# Builds the stand-ins of the cases: they are Python files that need the standard library only, so it is
# enough that they compile under the interpreter of the project's build.
set -eu
cd "$(dirname "$0")"
../.venv/bin/python -B - <<'END'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("ok", path)
END
