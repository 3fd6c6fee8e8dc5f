"""
Shell completion
================

Print the completion script for a shell.
"""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class

from toucanpin.cli.exits import ExitCode
from toucanpin.cli.http import fail

__all__ = ["completion"]


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """
    Print the completion script for SHELL.

    \b
    Example:
      eval "$(toucanpin completion bash)"
    """
    completion_class = get_completion_class(shell)
    if completion_class is None:
        fail(f"no completion for shell {shell!r}", ExitCode.USAGE)
    root = context.find_root().command
    click.echo(completion_class(root, {}, "toucanpin", "_TOUCANPIN_COMPLETE").source())
