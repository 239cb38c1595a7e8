"""Formats the report as text and as JSON."""

from collections.abc import Mapping, Sequence
from typing import Any

from caroblug.report._burn import Burn

_MAX_WORST_ACCOUNTS = 10


def worst_accounts(accounts: Mapping[str, float]) -> list[tuple[str, float]]:
    """Returns the accounts with the most failed requests, worst first."""
    ordered = sorted(accounts.items(), key=lambda item: (-item[1], item[0]))
    return ordered[:_MAX_WORST_ACCOUNTS]


def to_text(burns: Sequence[Burn], accounts: Mapping[str, float]) -> str:
    """Returns the report as text for a terminal."""
    lines = []
    for burn in burns:
        objective = burn.objective
        lines.append(
            f"{objective.service} / {burn.group}: {objective.measure} within "
            f"{objective.within_ms} ms for {objective.share:.3%}"
        )
        lines.append(
            f"  {burn.bad:.0f} of {burn.total:.0f} bad, "
            f"{burn.budget_left:.1%} of the budget left"
        )
        for item in burn.windows:
            state = "BURNING" if item.burning else "ok"
            lines.append(
                f"  {item.window.name:5} {item.long:8.2f} long "
                f"{item.short:8.2f} short (from {item.window.rate:g}) {state}"
            )
    if not burns:
        lines.append("no objective has any request yet")
    for account, bad in worst_accounts(accounts):
        lines.append(f"worst account {account}: {bad:.0f} bad")
    return "\n".join(lines) + "\n"


def to_json(
    burns: Sequence[Burn], accounts: Mapping[str, float]
) -> dict[str, Any]:
    """Returns the report as a JSON object."""
    return {
        "burns": [_burn_body(burn) for burn in burns],
        "worst_accounts": [
            {"client_account": account, "bad": bad}
            for account, bad in worst_accounts(accounts)
        ],
    }


def _burn_body(burn: Burn) -> dict[str, Any]:
    return {
        "service": burn.objective.service,
        "group": burn.group,
        "measure": burn.objective.measure,
        "within_ms": burn.objective.within_ms,
        "share": burn.objective.share,
        "total": burn.total,
        "bad": burn.bad,
        "budget_left": burn.budget_left,
        "windows": [
            {
                "name": item.window.name,
                "covered_s": item.covered_s,
                "long": item.long,
                "short": item.short,
                "rate": item.window.rate,
                "burning": item.burning,
            }
            for item in burn.windows
        ],
    }
