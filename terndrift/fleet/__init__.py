"""A fleet of controllers: membership, and a replicated record of what they have agreed on.

Only `service` does I/O. Nothing under `platform/` or `adapter/` imports this package. For the design see
`docs/fleet.md`.
"""
