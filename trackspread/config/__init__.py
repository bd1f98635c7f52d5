"""Reads the configuration of a gateway: that of the platform, and the operator's file, which adds to it."""
