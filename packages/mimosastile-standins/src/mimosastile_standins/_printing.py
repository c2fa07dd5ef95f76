"""Prints the output of the command-line tools."""


def say(line: str) -> None:
    """Prints a line and flushes, so that pipes get it at once."""
    print(line, flush=True)
