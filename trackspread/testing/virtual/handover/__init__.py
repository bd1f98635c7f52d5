"""Simulates a handover between two processes in virtual time."""
