"""Membership in levels: gateways in cells of one zone each, and control machines that keep the directory."""
