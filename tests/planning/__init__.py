"""Tests of `planning`."""
