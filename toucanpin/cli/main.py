"""
Command ``toucanpin``
=====================

Entry point of the operators' tool; each command or group of commands is defined in its own module.
"""

from __future__ import annotations

import click

from toucanpin import __version__
from toucanpin.cli.bundle import bundle
from toucanpin.cli.completion import completion
from toucanpin.cli.config import config
from toucanpin.cli.drain import drain
from toucanpin.cli.explain import explain
from toucanpin.cli.job import job, standing
from toucanpin.cli.losses import losses
from toucanpin.cli.status import doctor, hosts, status
from toucanpin.cli.timeline import timeline
from toucanpin.cli.top import top

__all__ = ["main"]


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="toucanpin")
def main() -> None:
    """
    Operate a toucanpin deployment.

    \b
    Exit codes: 0 done, 1 refused or failed, 2 wrong usage,
    3 conflict with another change, 4 not reached or outcome uncertain.

    \b
    Examples:
      toucanpin bundle check changeover.toml
      toucanpin status --operators http://127.0.1.1:9080
      toucanpin job submit --callers http://127.0.1.1:8080 job.json
      toucanpin explain 5c0e7a21d94b36f8 entry-1.log entry-2.log
    """


COMMANDS = (
    bundle,
    completion,
    config,
    doctor,
    drain,
    explain,
    hosts,
    job,
    losses,
    standing,
    status,
    timeline,
    top,
)

for command in COMMANDS:
    main.add_command(command)


if __name__ == "__main__":
    main()
