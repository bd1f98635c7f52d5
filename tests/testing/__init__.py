"""Tests of `testing`."""
