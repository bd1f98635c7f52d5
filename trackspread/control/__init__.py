"""Serves readiness and counters of this process to operators (`docs/operators-door.md`)."""
