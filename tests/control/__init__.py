"""Tests of `control`."""
