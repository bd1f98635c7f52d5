"""Tests the package `fronts`."""
