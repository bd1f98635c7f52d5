"""Mutation testing of the parts that decide: generated faults, planted in memory, for the checks to kill.

Only `make mutants`, tests and benchmarks use it; nothing that serves imports it.
"""
