"""The admin server for operators, with readiness and counters of this process (`docs/operators-door.md`)."""
