"""The running gateway."""
