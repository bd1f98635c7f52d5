"""Tests of `usage`."""
