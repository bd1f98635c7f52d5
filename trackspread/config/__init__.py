"""What a gateway is told at its start."""
