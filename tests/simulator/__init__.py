"""Tests the package `simulator`."""
