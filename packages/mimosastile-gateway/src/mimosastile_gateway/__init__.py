"""The gateway: a daemon in front of targets that own ranges of numeric keys.

`daemon` assembles it from services; `ports` is what an adapter for a platform
has to provide.
"""
