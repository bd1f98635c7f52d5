"""Service discovery: the source of the endpoint list, and when the gateway calls it."""
