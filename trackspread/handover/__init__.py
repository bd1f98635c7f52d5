"""Lets a new version take over from an old one under load (see `docs/upgrade.md`).

The design is in `docs/design/operations.md`.
"""
