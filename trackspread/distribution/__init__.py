"""Distributes configuration from control replicas to gateways by a replicated log and subscriptions to it."""
