"""Gets the endpoint list from service discovery, and times the calls to it."""
