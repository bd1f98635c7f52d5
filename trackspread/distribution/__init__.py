"""Configuration distributed from control replicas to gateways: a replicated log, and subscriptions to it."""
