"""Tests the checks by mutation: they must detect generated faults that are planted in memory.

Only `make mutants`, tests and benchmarks use this package; no module that a gateway runs imports it.
"""
