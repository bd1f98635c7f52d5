"""Keeps each gateway's view of its own fleet (`docs/design/membership.md`)."""
