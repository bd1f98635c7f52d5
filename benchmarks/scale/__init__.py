"""Measurements of how cost grows with size, and the fits that carry them on to sizes not measured."""
