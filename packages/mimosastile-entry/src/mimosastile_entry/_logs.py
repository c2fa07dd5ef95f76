"""How the daemon writes its log: lines for people or JSON for machines."""

import datetime
import logging as standard
import re

from absl import logging
import msgspec

TEXT = "text"
JSON = "json"
FORMATS = (TEXT, JSON)

_PART = re.compile(r"^([a-z_]+): (.*)$", re.DOTALL)


class Line(msgspec.Struct, omit_defaults=True):
    """One line of the log in JSON.

    Attributes:
        time: When, in UTC, as ISO 8601.
        level: How severe.
        part: Which part of the daemon wrote it.
        message: The sentence.
        error: Traceback, if there is one.
    """

    time: str
    level: str
    part: str
    message: str
    error: str = ""


class JsonFormatter(standard.Formatter):
    """Turns the part's prefix of a line into a field of its own."""

    def format(self, record: standard.LogRecord) -> str:
        """Returns one line of JSON."""
        text = record.getMessage()
        found = _PART.match(text)
        part, message = found.groups() if found else ("", text)
        at = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        error = self.formatException(record.exc_info) if record.exc_info else ""
        line = Line(
            at.isoformat(timespec="milliseconds"),
            record.levelname.lower(),
            part,
            message,
            error,
        )
        return msgspec.json.encode(line).decode()


def configure(level: str, log_format: str) -> None:
    """Sets level and format of the process's log.

    Args:
        level: Least severe level that is written.
        log_format: One of `FORMATS`.
    """
    logging.set_verbosity(level)
    logging.use_absl_handler()
    if log_format == JSON:
        logging.get_absl_handler().setFormatter(JsonFormatter())
