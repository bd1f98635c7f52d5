"""Tests the package `config`."""
