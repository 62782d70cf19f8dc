"""A store that survives crashes: named streams of records in an append-only log, with snapshots.

Every record batch is one zstandard frame with its checksum (RFC 8878): the library frames, compresses and
checks. `files` is the only place that touches the disk; what a folder's files amount to is decided in
`recovery`, free of I/O.
"""
