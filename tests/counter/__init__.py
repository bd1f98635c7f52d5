"""Tests of `counter`."""
