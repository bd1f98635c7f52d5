"""Tests of `decide`."""
