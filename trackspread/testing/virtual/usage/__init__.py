"""Simulates usage records on virtual disks, and their export, in virtual time."""
