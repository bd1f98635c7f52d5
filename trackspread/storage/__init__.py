"""Durable state of one process: files, an append-only journal of slots, and versioned documents."""
