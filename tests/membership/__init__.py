"""Tests of `membership`."""
