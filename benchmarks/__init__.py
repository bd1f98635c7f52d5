"""Measurements: `python -m benchmarks.NAME [--quick]`; the last line is one JSON object with the figures."""
