"""The decision module: every choice of a gateway, without input or output."""
