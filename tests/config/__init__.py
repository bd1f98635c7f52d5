"""Tests of `config`."""
