"""Command line of the stand-ins, `python -m mimosastile_standins`."""

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
from mimosastile_standins import soak_copies

_DEMO_SECONDS = 6.0

_HOST = "127.0.0.1"


def _run_until_interrupted(work: Coroutine[Any, Any, None]) -> None:
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(work)


class Commands:
    """Stand-ins, demo and test tools of mimosastile."""

    def demo(
        self, keep: bool = False, platform: bool = False, **options: float
    ) -> None:
        """Runs the whole request path in one process and prints a summary.

        Args:
            keep: Keeps running until Ctrl-C, for manual use with curl and
                mimosactl.
            platform: Runs the gateway on the users' platform instead.
            **options: `--for SECONDS`: how long callers send requests (6 s).
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
        """Measures imbalance, churn and unavailability against baselines.

        Args:
            only: `balance`, `outages`, `propagation` or empty for all.
            out: Folder for the results.
            plots: Also plots the results; requires matplotlib.
        """
        logging.set_verbosity(logging.ERROR)
        _measuring.run(only, pathlib.Path(out), plots)

    def slopes(self, out: str = "measurements") -> None:
        """Measures how costs grow with size on this machine.

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
        """Runs one role of the cost benchmark; `make bench` starts all roles.

        Args:
            role: target, bare, entry or load.
            at: Directory through which the roles coordinate; must not exist.
            seconds: Duration of each round of a cell.
            out: Directory of the results.
        """
        logging.set_verbosity(logging.ERROR)
        asyncio.run(
            bench_module.run(
                role, pathlib.Path(at), float(seconds), pathlib.Path(out)
            )
        )

    def compare(self, former: str, latter: str = "measurements") -> None:
        """Prints the figures that changed by more than 10 %.

        Args:
            former: Folder of an earlier commit's results.
            latter: Folder of the later results.
        """
        for line in comparing.differences(
            pathlib.Path(former), pathlib.Path(latter)
        ):
            _printing.say(line)

    def store(
        self, port: int = 7001, host: str = _HOST, document: str = ""
    ) -> None:
        """Serves an in-memory key-value service in its own process.

        Args:
            port: Port, 0 for any free one.
            host: IP address to listen on.
            document: Path of the initial configuration document.
        """
        _run_until_interrupted(processes.serve_store(host, port, document))

    def fleet(
        self, port: int = 7002, host: str = _HOST, file: str = ""
    ) -> None:
        """Serves a VM list in its own process.

        Args:
            port: Port, 0 for any free one.
            host: IP address to listen on.
            file: JSON file with the initial VMs.
        """
        _run_until_interrupted(processes.serve_fleet(host, port, file))

    def target(self, vm: str, port: int = 0, host: str = _HOST) -> None:
        """Serves a target in its own process.

        Args:
            vm: Identifier of the target's VM.
            port: Port, 0 for any free one.
            host: IP address to listen on.
        """
        _run_until_interrupted(processes.serve_target(host, port, vm))

    def scenario(
        self, *files: str, seed: int | None = None, trace: bool = False
    ) -> None:
        """Runs scenarios in virtual time and prints the oracle's verdicts.

        Args:
            *files: Scenario files.
            seed: Overrides the seeds of the scenario files.
            trace: Prints each step.
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
        """Searches for scenarios that violate a promise and shrinks them.

        Args:
            seeds: Number of seeds to try.
            first: The first seed.
            examples: Number of scenarios to try for each seed.
            out: Folder for the scenarios found.
        """
        logging.set_verbosity(logging.ERROR)
        sys.exit(fuzzing.search(first, seeds, examples, pathlib.Path(out)))

    def policy(
        self, *cases: str, deployment: str = "urednistvo", out: str = ""
    ) -> None:
        """Measures the load-balancing policy in virtual time, with baselines.

        Args:
            *cases: Cases to run, none for all.
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
        hostile: str = "",
    ) -> None:
        """Runs real daemons under injected faults and checks safety promises.

        Args:
            seed: Seed of the first round; each further round adds one.
            rounds: Number of rounds.
            seconds: How long faults are injected in each round.
            vms: Number of daemons, each in its own process.
            targets: Number of targets of each of the two services.
            callers: Number of callers.
            out: Folder for settings, logs and verdicts.
            hostile: Additional faults: `answers` for copies of targets'
                answers, `entries` for others' registrations under their
                identifiers, `refusals` for refusals of requests that have
                run, `bodies` for slow and endless ones, `odd` for records in
                odd forms, or `all`.
        """
        kinds = frozenset(
            kind
            for kind in soak_module.Hostile
            if hostile in (kind.value, "all")
        )
        wrong = 0
        for number in range(seed, seed + rounds):
            plan = soak_module.Plan(
                number,
                float(seconds),
                vms,
                targets,
                callers,
                pathlib.Path(out).resolve() / str(number),
                kinds,
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
                f"{verdict.lateness.leaving_margin:.2f} s left, "
                f"without targets {verdict.reach.served:.3f} served, "
                f"others {verdict.reach.others:.3f}, margin "
                f"{verdict.reach.margin:.3f} of {verdict.reach.tries} tries"
            )
            for line in verdict.wrong[:10]:
                _printing.say(f"  {line}")
        sys.exit(min(wrong, 1))

    def copies(
        self, seed: int = 0, rounds: int = 1, requests: int = 900
    ) -> None:
        """Runs the daemons while responses are copied, crossed and refused.

        Args:
            seed: Seed of the first round; each further round adds one.
            rounds: Number of rounds.
            requests: Number of requests in each round.
        """
        logging.set_verbosity(logging.ERROR)
        wrong = 0
        for number in range(seed, seed + rounds):
            trouble = soak_copies.draw_trouble(number)
            report = asyncio.run(soak_copies.run(number, requests, trouble))
            wrong += not report.clean
            _printing.say(
                f"seed {number}: {trouble}, {dict(report.statuses)},"
                f" {report.copies} copies, {report.unmatched} skipped,"
                f" foreign {report.foreign}, refused and run"
                f" {report.refused}, repeated {report.repeated}"
            )
        sys.exit(min(wrong, 1))

    def losses(self, seed: int = 0) -> None:
        """Measures unavailability after faults and planned stops.

        Runs in virtual time.

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
        """Writes the capacity page from committed results.

        Args:
            results: Folder of the results.
            page: Path of the page to write.
        """
        loaded_results = capacity.Results(pathlib.Path(results))
        text = capacity.page(loaded_results)
        pathlib.Path(page).write_text(text, encoding="utf-8")

    def mutations(
        self,
        only: str = "",
        folder: str = "scenarios",
        seeds: int = 2,
        examples: int = 40,
    ) -> None:
        """Disables one safety rule at a time and prints what detects it.

        Args:
            only: Substring of the mutations' names, empty for all.
            folder: Folder of the scenario files.
            seeds: Number of fuzzer seeds for each mutation.
            examples: Number of scenarios for each seed.
        """
        logging.set_verbosity(logging.FATAL)
        path = pathlib.Path(folder)
        sys.exit(mutations.report(only, path, seeds, examples))


if __name__ == "__main__":
    fire.Fire(Commands(), name="mimosastile_standins")
