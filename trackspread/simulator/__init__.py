"""Runs decision modules for the platform's simulator over a binary protocol."""
