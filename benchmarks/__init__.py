"""Measures the program: `python -m benchmarks.NAME [--quick]` ends with its figures as one JSON object."""
