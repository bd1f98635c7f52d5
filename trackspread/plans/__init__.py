"""Keeps versions of the plans' limits, each with the time from which it is in force, and reservations."""
