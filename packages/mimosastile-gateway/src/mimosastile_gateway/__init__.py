"""The gateway: a daemon in front of targets that own ranges of numeric keys.

`daemon` assembles it from services; `ports` defines the interfaces that a
platform's adapter implements.
"""
