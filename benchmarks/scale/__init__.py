"""Measures how costs grow with size, and extrapolates them to sizes that are not measured."""
