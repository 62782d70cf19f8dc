# `make demo` and `make test` do all on a fresh machine with Python 3.11 or later.
PY = .venv/bin/python

.PHONY: demo test lint rehearse

.venv/done: requirements.txt pyproject.toml
	.venv/bin/pip --version >/dev/null 2>&1 || { rm -rf .venv && python3 -m venv .venv; }
	.venv/bin/pip -q install -r requirements.txt && cp requirements.txt .venv/built
	.venv/bin/pip -q install --no-deps -e .
	touch .venv/done

demo: .venv/done
	.venv/bin/terndrift demo --try

lint: .venv/done
	.venv/bin/ruff check . && .venv/bin/ruff format --check .

test: lint
	$(PY) -m pytest -q

rehearse: .venv/done
	.venv/bin/terndrift rehearse bad-day --seed 1 --report rehearsal.json
