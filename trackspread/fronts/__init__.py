"""What clients speak."""
