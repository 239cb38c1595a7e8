"""Command-line programs.

Those that use gevent patch the standard library before any other import.
"""
