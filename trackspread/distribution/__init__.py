"""Configuration handed down: replicas that number and keep changes, gateways that pull what they need."""
