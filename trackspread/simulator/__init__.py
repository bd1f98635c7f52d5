"""The simulator's wire and the host that speaks it."""
