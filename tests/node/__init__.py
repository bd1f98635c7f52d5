"""Tests of `node`."""
