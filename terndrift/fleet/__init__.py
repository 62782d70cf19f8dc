"""Controllers that know each other: who is there, and one record of what all have agreed.

Free of I/O but for `service`; nothing under `platform/` or `adapter/` imports it. Why: `docs/fleet.md`.
"""
