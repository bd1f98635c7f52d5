"""Versioned plan limits, each version with the time from which it is in force, and reservations."""
