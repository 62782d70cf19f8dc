"""Measurements: `python -m benchmarks.NAME --help`. Long ones; none is part of CI."""
