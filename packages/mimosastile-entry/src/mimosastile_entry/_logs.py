"""Log formats of the daemon: text lines or JSON."""

import contextvars
import datetime
import logging as standard
import re

from absl import logging
import msgspec

TEXT = "text"
JSON = "json"
FORMATS = (TEXT, JSON)

REQUEST_ID: contextvars.ContextVar[str] = contextvars.ContextVar(
    "request_id", default=""
)
"""Identifier of the request that the current task serves, empty if none."""

_PART = re.compile(r"^([a-z_]+): (.*)$", re.DOTALL)


class Line(msgspec.Struct, omit_defaults=True):
    """One line of the log in JSON.

    Attributes:
        time: Time in UTC, as ISO 8601.
        level: Severity, in lower case.
        part: Component of the daemon that wrote the line.
        message: Message text without the component prefix.
        request_id: Identifier of the request served, the same on all VMs.
        error: Traceback, empty if there is none.
    """

    time: str
    level: str
    part: str
    message: str
    request_id: str = ""
    error: str = ""


class TextFormatter(logging.PythonFormatter):
    """Appends the request identifier to each line."""

    def format(self, record: standard.LogRecord) -> str:
        """Returns one line of text."""
        line: str = super().format(record)
        request_id = REQUEST_ID.get()
        return f"{line} [{request_id}]" if request_id else line


class JsonFormatter(standard.Formatter):
    """Formats JSON lines and splits the component prefix into a field."""

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
            REQUEST_ID.get(),
            error,
        )
        return msgspec.json.encode(line).decode()


def configure(level: str, log_format: str) -> None:
    """Configures the level and format of the process log.

    Args:
        level: Lowest severity that is written.
        log_format: One of `FORMATS`.
    """
    logging.set_verbosity(level)
    logging.use_absl_handler()
    formatter = JsonFormatter() if log_format == JSON else TextFormatter()
    logging.get_absl_handler().setFormatter(formatter)
