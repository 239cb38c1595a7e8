"""Value types for mistakes in TOML files."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SettingProblem:
    """One mistake in a TOML file.

    Attributes:
        file: Name of the file.
        key: Dotted path of the key.
        message: What is wrong, with the allowed values where there are any.
    """

    file: str
    key: str
    message: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key}: {self.message}"


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsRejected:
    """Result of loading a TOML file that contains mistakes.

    Attributes:
        problems: Every mistake found.
    """

    problems: tuple[SettingProblem, ...]
