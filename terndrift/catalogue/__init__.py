"""Titles in service: what they are, who holds them, and changes to them as transactions.

`titles` says what a title is and checks it, `versions` decides on changes; both free of I/O. `service`
makes changes durable and visible, `admin` takes them over HTTP, `source` follows a file.
"""
