"""State that outlives a process: files, an append-only journal of fixed slots, and versioned documents."""
