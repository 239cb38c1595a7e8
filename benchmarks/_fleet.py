"""Mixed fleet of engines in three data centres and its maximum throughput."""

import json
import subprocess
import sys
from collections.abc import Mapping, Sequence

import attrs

from caroblug.core.routing import EngineView, full_mesh, make_plan
from standins.site import (
    EngineSpec,
    EntrySpec,
    RunningProcess,
    Site,
    make_default_bundle,
)

PLACES = ("muscat-a", "muscat-b", "muscat-c")
LAYERS = 24
LINK_MS = 0.5
DEGRADATION = 100
BATCH = 8
POSITION_MS = 0.5
_MS_PER_S = 1000
_PROGRAMS = {"caroblug.cli.entry": "entry", "caroblug.cli.side": "side"}


@attrs.frozen
class Accelerator:
    """One engine of the fleet.

    Attributes:
        place: Data centre of the engine.
        first_layer: First layer that the engine holds.
        end_layer: One past the last layer.
        tokens_per_s: Positions per second in full batches.
    """

    place: str
    first_layer: int
    end_layer: int
    tokens_per_s: float


FLEET = (
    Accelerator("muscat-a", 0, 8, 400),
    Accelerator("muscat-a", 8, 16, 240),
    Accelerator("muscat-a", 16, 24, 180),
    Accelerator("muscat-a", 0, 24, 160),
    Accelerator("muscat-b", 0, 12, 300),
    Accelerator("muscat-b", 12, 24, 200),
    Accelerator("muscat-b", 4, 16, 200),
    Accelerator("muscat-b", 0, 8, 120),
    Accelerator("muscat-b", 16, 24, 240),
    Accelerator("muscat-c", 0, 12, 300),
    Accelerator("muscat-c", 16, 24, 120),
    Accelerator("muscat-c", 8, 24, 160),
    Accelerator("muscat-c", 0, 10, 80),
)


class LinkedSite(Site):
    """Site whose programs communicate over emulated links.

    Attributes:
        links: (latency in ms, bytes per second) by data centre.
    """

    links: Mapping[str, tuple[float, float]]

    def _spawn(self, process: RunningProcess, command: list[str]) -> None:
        module = command[2]
        if module in _PROGRAMS:
            command = [
                sys.executable,
                "-m",
                "standins.links",
                f"--role={_PROGRAMS[module]}",
                f"--links={json.dumps(self.links)}",
                *command[3:],
            ]
        super()._spawn(process, command)


def make_healthy_links() -> dict[str, tuple[float, float]]:
    """Returns the undegraded links by data centre."""
    return dict.fromkeys(PLACES, (LINK_MS, 0.0))


def make_degraded_links() -> dict[str, tuple[float, float]]:
    """Returns the links with a hundredfold latency in one data centre."""
    links = make_healthy_links()
    links[PLACES[-1]] = (LINK_MS * DEGRADATION, 0.0)
    return links


def start_fleet(site: Site) -> None:
    """Starts the platform and every engine of the fleet."""
    site.bundle = make_default_bundle()
    site.start_platform()
    site.add_account("bench", streams=100_000)
    site.publish()
    for number, accelerator in enumerate(FLEET):
        iteration_ms = BATCH * _MS_PER_S / accelerator.tokens_per_s
        step_ms = iteration_ms - BATCH * POSITION_MS
        site.start_engine(
            EngineSpec(
                name=f"{accelerator.place[-1]}-{number}",
                data_centre=accelerator.place,
                first_layer=accelerator.first_layer,
                end_layer=accelerator.end_layer,
                options=(
                    f"--batch={BATCH}",
                    f"--step-ms={step_ms}",
                    f"--position-ms={POSITION_MS}",
                ),
            )
        )


def start_entries(site: Site, chooser: str) -> list[str]:
    """Starts an entry in each data centre.

    Args:
        site: The running site.
        chooser: Policy by which the entries choose chains.

    Returns:
        The names of the entries.
    """
    names = []
    for place in PLACES:
        name = f"entry-{chooser}-{place[-1]}".replace("_", "-")
        settings = {"chooser": chooser}
        site.start_entry(
            EntrySpec(name=name, data_centre=place, settings=settings)
        )
        names.append(name)
    site.wait_ready()
    return names


def stop_entries(site: Site, names: Sequence[str]) -> None:
    """Stops entries and removes them from the instance list."""
    for name in names:
        process = site.processes[name]
        process.popen.terminate()
        try:
            process.popen.wait(3)
        except subprocess.TimeoutExpired:
            process.kill()
        site.list_instance(name, "gone")
        del site.processes[name]


def compute_max_positions_per_s() -> float:
    """Returns the maximum positions per second that the fleet can run."""
    views = [
        EngineView(
            f"e{number}",
            "",
            0,
            a.place,
            "",
            a.first_layer,
            a.end_layer,
            a.tokens_per_s,
        )
        for number, a in enumerate(FLEET)
    ]
    return make_plan(views, LAYERS, full_mesh(PLACES)).tokens_per_s
