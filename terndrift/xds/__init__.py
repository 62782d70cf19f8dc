"""Envoy's clusters and endpoints in xDS form (v3 API): following them, free of I/O but for the client."""
