"""Tests the package `control`."""
