"""The real gateway: sockets round the decision module. Nothing in here decides about a request."""
