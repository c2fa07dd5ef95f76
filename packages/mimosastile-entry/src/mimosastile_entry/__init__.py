"""The mimosastile daemon: a micro-kernel and the services it runs.

The public face is `daemon` (assembles and runs a daemon), `kernel`, `ports`
(adapters to everything outside) and `settings`.
"""
