"""A gateway that decides which tenants' requests it forwards to which backends, and which it rejects."""
