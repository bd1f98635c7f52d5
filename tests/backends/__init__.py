"""Tests of `backends`."""
