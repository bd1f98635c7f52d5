"""Tests of `cells`."""
