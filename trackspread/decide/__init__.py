"""Contains the decision module: every choice that a gateway makes, without input or output."""
