"""The admin server: readiness and counters of this process for operators (`docs/operators-door.md`)."""
