"""What the tools print for people."""


def say(line: str) -> None:
    """Prints a line at once, also through a pipe."""
    print(line, flush=True)
