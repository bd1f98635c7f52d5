"""Tests of the project itself: layers, names, pages, limits."""
