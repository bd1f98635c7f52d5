"""Tests of `distribution`."""
