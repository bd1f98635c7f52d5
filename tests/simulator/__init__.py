"""Tests of `simulator`."""
