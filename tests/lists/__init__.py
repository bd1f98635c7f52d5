"""Tests the package `lists`."""
