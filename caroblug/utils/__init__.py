"""Helpers shared by every package: time, outcomes, settings, metrics.

Names are imported when they are first used: settings and metrics bring
libraries that a program which only needs the clock would pay for at its start.
"""

from caroblug.lazy import make_lazy_exports

_MODULES = {
    "Clock": "_clock",
    "BoottimeClock": "_clock",
    "ManualClock": "_clock",
    "MonotonicClock": "_clock",
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
