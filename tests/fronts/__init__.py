"""Tests of `fronts`."""
