"""Rights of members on a counter that gateways share and that may be lost, split or replaced."""
