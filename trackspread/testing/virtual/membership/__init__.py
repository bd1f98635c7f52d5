"""The view of a fleet in virtual time."""
