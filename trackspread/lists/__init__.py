"""Where the list of backends comes from."""
