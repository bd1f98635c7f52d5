"""Stores the durable state of one process in files, an append-only journal of slots, and documents."""
