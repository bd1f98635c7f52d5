"""Where messages of a protocol begin and end, for both sides of the gateway."""
