"""Mutation testing of the decision logic: generated faults, planted in memory, that the checks must detect.

Only `make mutants`, tests and benchmarks use it; nothing that serves imports it.
"""
