"""Tests of `handover`."""
