"""Tests of `storage`."""
