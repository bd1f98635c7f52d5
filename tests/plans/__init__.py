"""Tests the package `plans`."""
