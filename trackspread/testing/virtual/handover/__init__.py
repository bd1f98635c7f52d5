"""A handover between two processes in virtual time."""
