"""Durable state of one process: files, an append-only journal of fixed-size slots, and versioned documents."""
