"""The command-line programs; each patches the standard library first."""
