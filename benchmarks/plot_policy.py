"""
Plot of the interference policy's trade-off
===========================================

Read the lines of ``python -m benchmarks.policy`` and plot p99 against batch throughput:
``python -m benchmarks.plot_policy < docs/figures/policy.txt > docs/figures/policy.svg``.
"""

from __future__ import annotations

import io
import re
import sys
from collections.abc import Iterable

import matplotlib

matplotlib.use("Agg")
matplotlib.rcParams["svg.hashsalt"] = "toucanpin"
matplotlib.rcParams["svg.fonttype"] = "none"

from matplotlib import pyplot  # noqa: E402

__all__ = ["draw", "main", "read_figures"]

LINE_PATTERN = re.compile(r"bench policy\.(\w+)\.(\w+)\.([\w-]+)\.(\w+) value=(\S+)")
SPLIT = "kept"
DEPLOYMENTS = ("cooperative", "stillwater")


def read_figures(lines: Iterable[str]) -> dict[str, dict[str, dict[str, float]]]:
    """Return the figures of the kept tables by deployment, chooser and measure."""
    figures: dict[str, dict[str, dict[str, float]]] = {}
    for line in lines:
        if (match := LINE_PATTERN.match(line)) and match[2] == SPLIT:
            chooser = figures.setdefault(match[1], {}).setdefault(match[3], {})
            chooser[match[4]] = float(match[5])
    return figures


def draw(figures: dict[str, dict[str, dict[str, float]]]) -> str:
    """Return the plot as SVG."""
    figure, axes = pyplot.subplots(1, len(DEPLOYMENTS), figsize=(11, 4.5), sharey=True)
    for axis, deployment in zip(axes, DEPLOYMENTS, strict=True):
        for chooser, it in figures[deployment].items():
            label = f"{chooser} ({it['evictions']:.0f} evictions)"
            axis.scatter(it["throughput"], it["p99"], s=30, label=label)
        axis.set_title(deployment)
        axis.set_xlabel("batch throughput (share of its processors)")
        axis.legend(fontsize=8, loc="center left")
    axes[0].set_ylabel("p99 of all requests (idle = 1)")
    figure.tight_layout()
    content = io.StringIO()
    figure.savefig(content, format="svg", metadata={"Date": None})
    return content.getvalue()


def main() -> None:
    """Plot the figures read from standard input."""
    sys.stdout.write(draw(read_figures(sys.stdin)))


if __name__ == "__main__":
    main()
