"""Tests the package `backends`."""
