"""The host process for the platform's simulator, and the binary protocol between them."""
