"""Structured logging to standard error, as one JSON object per line or as readable lines for a console."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

CONSOLE_FORMAT = "console"
LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def configure_logging(log_format: str, level: str, **context: Any) -> Any:
    """Set up logging to standard error and return a logger.

    Args:
        log_format: "console" for readable lines; any other value means JSON.
        level: Lowest level that is logged, one of LEVELS.
        **context: Fields that every line gets.
    """
    renderer: Any = structlog.processors.JSONRenderer()
    if log_format == CONSOLE_FORMAT:
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger(**context)
