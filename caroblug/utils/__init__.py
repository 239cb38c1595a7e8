"""Shared helpers: clocks, decoding, refusals, settings, logging and metrics.

Names are imported on first access. Settings and metrics depend on libraries
that would slow the start of a program which needs only the clock.
"""

from caroblug.lazy import make_lazy_exports

_MODULES = {
    "Clock": "_clock",
    "BoottimeClock": "_clock",
    "ManualClock": "_clock",
    "MonotonicClock": "_clock",
    "TimeOfDayClock": "_clock",
    "DECODE_ERRORS": "_decoding",
    "load_json": "_decoding",
    "parse_digits": "_decoding",
    "shorten": "_decoding",
    "handle_greenlet_errors": "_greenlets",
    "log_state": "_logging",
    "start_logging": "_logging",
    "Metrics": "_metrics",
    "make_metrics": "_metrics",
    "CALLER_ERRORS": "_outcomes",
    "ExecutionStatus": "_outcomes",
    "RefusalType": "_outcomes",
    "Refused": "_outcomes",
    "load_settings": "_settings",
    "structure_table": "_settings",
    "SettingProblem": "_settings_problems",
    "SettingsRejected": "_settings_problems",
    "TopCounter": "_top",
    "choice": "_validation",
    "count": "_validation",
    "duration_ms": "_validation",
    "name": "_validation",
    "number": "_validation",
    "port": "_validation",
    "secret": "_validation",
    "text": "_validation",
}

__getattr__, __dir__, __all__ = make_lazy_exports(__name__, _MODULES)
