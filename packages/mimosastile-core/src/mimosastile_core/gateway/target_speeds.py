"""Measured speeds of targets, as exchanged between VMs and their leader."""

import msgspec


class SpeedSample(msgspec.Struct, frozen=True, array_like=True):
    """What one VM has measured of a target's speed.

    Attributes:
        factor: Service time relative to the mean of all targets; 2 means twice
            as slow.
        samples: Number of responses that the factor is based on; 0 for none.
        age: Seconds since the last of them.
    """

    factor: float
    samples: int
    age: float
