"""Tests of `plans`."""
