"""Tests of `lists`."""
