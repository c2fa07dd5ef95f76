"""The mimosastile daemon: a microkernel and its services.

The public modules are `daemon` (assembles and runs a daemon), `kernel`, `ports`
(adapters to everything outside) and `settings`.
"""
