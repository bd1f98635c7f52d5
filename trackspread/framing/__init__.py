"""Frames the messages of protocols, for the client side and the backend side of the gateway."""
