"""Command line of the stand-ins: `python -m mimosastile_standins demo`."""

import asyncio
from collections.abc import Coroutine
import contextlib
import pathlib
import sys
from typing import Any

from absl import logging
import fire

from mimosastile_standins import _measuring
from mimosastile_standins import _policy_report
from mimosastile_standins import _printing
from mimosastile_standins import _scenarios
from mimosastile_standins import bench as bench_module
from mimosastile_standins import capacity
from mimosastile_standins import comparing
from mimosastile_standins import demo as demo_module
from mimosastile_standins import fuzzing
from mimosastile_standins import loss_cases
from mimosastile_standins import mutations
from mimosastile_standins import platform_demo
from mimosastile_standins import processes
from mimosastile_standins import soak as soak_module

_DEMO_SECONDS = 6.0

_HOST = "127.0.0.1"


def _until_interrupted(work: Coroutine[Any, Any, None]) -> None:
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(work)


class Commands:
    """Stand-ins, demo and tools of mimosastile."""

    def demo(
        self, keep: bool = False, platform: bool = False, **options: float
    ) -> None:
        """Runs the whole path in one process and prints what happened.

        Args:
            keep: Goes on until Ctrl-C, for play with curl and mimosactl.
            platform: Shows the gateway on the users' platform instead.
            **options: `--for SECONDS`: how long callers send requests.
        """
        seconds = options.pop("for", _DEMO_SECONDS)
        if options:
            raise fire.core.FireError(f"unknown: {', '.join(options)}")
        logging.set_verbosity(logging.WARNING)
        with contextlib.suppress(KeyboardInterrupt):
            if platform:
                asyncio.run(platform_demo.run(float(seconds)))
                return
            asyncio.run(demo_module.run(float(seconds), keep))

    def measure(
        self, only: str = "", out: str = "measurements", plots: bool = False
    ) -> None:
        """Measures imbalance, churn and unavailable time with baselines.

        Args:
            only: `balance`, `outages`, `propagation` or empty for all.
            out: Folder for the results.
            plots: Draws them too, if matplotlib is installed.
        """
        logging.set_verbosity(logging.ERROR)
        _measuring.run(only, pathlib.Path(out), plots)

    def slopes(self, out: str = "measurements") -> None:
        """Measures costs by size on this machine.

        Args:
            out: Folder for the results.
        """
        logging.set_verbosity(logging.ERROR)
        _measuring.slopes(pathlib.Path(out))

    def bench(
        self,
        role: str,
        at: str,
        seconds: float = 0.5,
        out: str = "measurements",
    ) -> None:
        """Runs one role of the cost bench; `make bench` starts all of them.

        Args:
            role: target, bare, entry or load.
            at: Directory in which the roles meet; must not exist yet.
            seconds: How long each round of a cell takes.
            out: Directory of the results.
        """
        logging.set_verbosity(logging.ERROR)
        asyncio.run(
            bench_module.run(
                role, pathlib.Path(at), float(seconds), pathlib.Path(out)
            )
        )

    def compare(self, former: str, latter: str = "measurements") -> None:
        """Prints which figures changed by more than a tenth.

        Args:
            former: Folder of an earlier commit's results.
            latter: Folder of the later ones.
        """
        for line in comparing.differences(
            pathlib.Path(former), pathlib.Path(latter)
        ):
            _printing.say(line)

    def store(
        self, port: int = 7001, host: str = _HOST, document: str = ""
    ) -> None:
        """Serves a key-value service as a process of its own.

        Args:
            port: Port, 0 for any free one.
            host: IP number to listen on.
            document: Configuration document to begin with.
        """
        _until_interrupted(processes.serve_store(host, port, document))

    def fleet(
        self, port: int = 7002, host: str = _HOST, file: str = ""
    ) -> None:
        """Serves a list of VMs as a process of its own.

        Args:
            port: Port, 0 for any free one.
            host: IP number to listen on.
            file: JSON file with the VMs to begin with.
        """
        _until_interrupted(processes.serve_fleet(host, port, file))

    def target(self, vm: str, port: int = 0, host: str = _HOST) -> None:
        """Serves a target as a process of its own.

        Args:
            vm: Identifier of its VM.
            port: Port, 0 for any free one.
            host: IP number to listen on.
        """
        _until_interrupted(processes.serve_target(host, port, vm))

    def scenario(
        self, *files: str, seed: int | None = None, trace: bool = False
    ) -> None:
        """Runs scenarios in virtual time and prints the oracle's verdicts.

        Args:
            *files: Scenario files.
            seed: Replaces the scenarios' own seeds.
            trace: Prints what was done, step by step.
        """
        logging.set_verbosity(logging.ERROR)
        sys.exit(_scenarios.report(files, seed, trace))

    def fuzz(
        self,
        seeds: int = 20,
        first: int = 0,
        examples: int = 20,
        out: str = "scenarios/found",
    ) -> None:
        """Looks for scenarios that break a promise and shrinks them.

        Args:
            seeds: How many seeds to try.
            first: The first seed.
            examples: Scenarios tried for each seed.
            out: Folder for the scenarios found.
        """
        logging.set_verbosity(logging.ERROR)
        sys.exit(fuzzing.search(first, seeds, examples, pathlib.Path(out)))

    def policy(
        self, *cases: str, deployment: str = "urednistvo", out: str = ""
    ) -> None:
        """Measures policy in virtual time, with baselines.

        Args:
            *cases: Cases to play, none for all.
            deployment: Name of the deployment.
            out: Folder for the results, empty to print only.
        """
        _policy_report.report(deployment, cases, out)

    def soak(
        self,
        seed: int = 0,
        rounds: int = 1,
        seconds: float = 40.0,
        vms: int = 8,
        targets: int = 8,
        callers: int = 24,
        out: str = "out/soak",
    ) -> None:
        """Runs real daemons under faults from outside and checks promises.

        Args:
            seed: Of the first round; each further one takes the next.
            rounds: How many to play.
            seconds: For which faults come in each.
            vms: Daemons, each a process.
            targets: Targets of each of the two services.
            callers: Callers.
            out: Folder for settings, logs and verdicts.
        """
        wrong = 0
        for number in range(seed, seed + rounds):
            plan = soak_module.Plan(
                number,
                float(seconds),
                vms,
                targets,
                callers,
                pathlib.Path(out).resolve() / str(number),
            )
            verdict = asyncio.run(soak_module.run(plan))
            wrong += len(verdict.wrong)
            _printing.say(
                f"seed {number}: {len(verdict.wrong)} wrong, "
                f"{len(verdict.faults)} faults, {verdict.runs} runs, "
                f"served after {verdict.served_after:.3f}, "
                f"answers {verdict.attempts}, "
                f"in force {verdict.lateness.configuration:.2f} s late with "
                f"{verdict.lateness.configuration_margin:.2f} s left, leaving "
                f"{verdict.lateness.leaving:.2f} s with "
                f"{verdict.lateness.leaving_margin:.2f} s left"
            )
            for line in verdict.wrong[:10]:
                _printing.say(f"  {line}")
        sys.exit(min(wrong, 1))

    def losses(self, seed: int = 0) -> None:
        """Measures in virtual time what losses and planned stops cost.

        Args:
            seed: Seed of identifiers and jitter.
        """
        logging.set_verbosity(logging.ERROR)
        loss_cases.Report(seed).print()

    def capacity(
        self,
        results: str = "measurements",
        page: str = "docs/CAPACITY.md",
    ) -> None:
        """Writes the page on capacity from committed results.

        Args:
            results: Folder of the results.
            page: The page.
        """
        found = capacity.Results(pathlib.Path(results))
        text = capacity.page(found)
        pathlib.Path(page).write_text(text, encoding="utf-8")

    def mutations(
        self,
        only: str = "",
        folder: str = "scenarios",
        seeds: int = 2,
        examples: int = 40,
    ) -> None:
        """Takes one safety rule away at a time and prints what notices.

        Args:
            only: Part of the names to try, empty for all.
            folder: Folder of the scenario files.
            seeds: Seeds of the fuzz for each mutation.
            examples: Scenarios for each seed.
        """
        logging.set_verbosity(logging.FATAL)
        path = pathlib.Path(folder)
        sys.exit(mutations.report(only, path, seeds, examples))


if __name__ == "__main__":
    fire.Fire(Commands(), name="mimosastile_standins")
