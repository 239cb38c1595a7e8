"""Mistakes in TOML files, as values."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SettingProblem:
    """One mistake in a TOML file.

    Attributes:
        file: Name of the file.
        key: Dotted path of the key.
        message: The value found and what is allowed.
    """

    file: str
    key: str
    message: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key}: {self.message}"


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsRejected:
    """A TOML file with mistakes.

    Attributes:
        problems: Every mistake found, in the file's order.
    """

    problems: tuple[SettingProblem, ...]
