"""Sends attempts to backends: connection pools, and the protocol that backends speak."""
