"""Usage records and their export to billing, exactly once; only `host.py` and `senders.py` do I/O."""
