"""Messages between gateways."""
