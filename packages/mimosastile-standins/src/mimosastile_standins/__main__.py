"""Command line of the stand-ins: `python -m mimosastile_standins demo`."""

import asyncio
import contextlib

from absl import logging
import fire

from mimosastile_standins import demo as demo_module

_DEMO_SECONDS = 6.0


class Commands:
    """Stand-ins, demo and tools of mimosastile."""

    def demo(self, keep: bool = False, **options: float) -> None:
        """Runs the whole path in one process and prints what happened.

        Args:
            keep: Goes on until Ctrl-C, for play with curl and mimosactl.
            **options: `--for SECONDS`: how long callers send requests.
        """
        seconds = options.pop("for", _DEMO_SECONDS)
        if options:
            raise fire.core.FireError(f"unknown: {', '.join(options)}")
        logging.set_verbosity(logging.WARNING)
        with contextlib.suppress(KeyboardInterrupt):
            asyncio.run(demo_module.run(float(seconds), keep))


if __name__ == "__main__":
    fire.Fire(Commands(), name="mimosastile_standins")
