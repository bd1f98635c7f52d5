"""Configuration of a gateway: the platform's, and the operator's file with what this project adds."""
