"""Simulates the membership of a fleet in virtual time."""
