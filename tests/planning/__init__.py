"""Tests the package `planning`."""
