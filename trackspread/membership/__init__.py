"""The view: gateways keep a view of their own fleet (`docs/design/membership.md`)."""
