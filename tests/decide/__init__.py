"""Tests of the decision module."""
