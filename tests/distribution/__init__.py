"""Tests the package `distribution`."""
