"""
Plot of losses
==============

Plot the task-seconds of each queue by cause over time.
"""

from __future__ import annotations

import io
from collections.abc import Iterable, Mapping
from typing import Any

__all__ = ["draw_losses", "rank_causes"]

BySecond = Mapping[int, Mapping[str, float]]
Causes = Mapping[str, Mapping[int, float]]

MAX_CAUSES_SHOWN = 9  # per queue; the others are summed up as OTHER_CAUSES
OTHER_CAUSES = "other"
PALETTE = "tab20"
OTHER_COLOUR = "lightgrey"
WIDTH_INCHES = 11.0
QUEUE_HEIGHT_INCHES = 3.2


def rank_causes(by_second: BySecond) -> dict[str, dict[int, float]]:
    """Return the time series of each cause, largest first, small causes summed up as one."""
    seconds: dict[str, dict[int, float]] = {}
    for second, causes in by_second.items():
        for cause, value in causes.items():
            seconds.setdefault(cause, {})[second] = value
    ranked = sorted(seconds, key=lambda cause: (-sum(seconds[cause].values()), cause))
    shown = {cause: seconds[cause] for cause in ranked[:MAX_CAUSES_SHOWN]}
    for cause in ranked[MAX_CAUSES_SHOWN:]:
        others = shown.setdefault(OTHER_CAUSES, {})
        for second, value in seconds[cause].items():
            others[second] = others.get(second, 0.0) + value
    return shown


def draw_losses(by_queue: Mapping[str, BySecond]) -> str:
    """
    Return the plot as SVG; raise ImportError without matplotlib.

    Matplotlib isn't imported with the module because it is an optional dependency.
    """
    import matplotlib
    from matplotlib.figure import Figure

    shown = {queue: rank_causes(by_queue[queue]) for queue in sorted(by_queue) if by_queue[queue]}
    colours = _choose_colours(shown.values(), matplotlib.colormaps[PALETTE])
    first, last = _find_span(by_queue.values())
    figure = Figure(
        figsize=(WIDTH_INCHES, QUEUE_HEIGHT_INCHES * max(1, len(shown))), layout="constrained"
    )
    axes = figure.subplots(max(1, len(shown)), 1, sharex=True, squeeze=False)[:, 0]
    for axis, (queue, causes) in zip(axes, shown.items(), strict=False):
        _draw_queue(axis, causes, colours, range(first, last + 2))
        axis.set_title(queue, loc="left")
    axes[-1].set_xlabel("seconds since the first wait or run")
    content = io.StringIO()
    # A fixed salt and no date make the output reproducible; text stays text, not paths.
    with matplotlib.rc_context({"svg.hashsalt": "toucanpin", "svg.fonttype": "none"}):
        figure.savefig(content, format="svg", metadata={"Date": None})
    return content.getvalue()


def _choose_colours(queues: Iterable[Causes], palette: Any) -> dict[str, Any]:
    """Return the colour of each cause, the same in all queues."""
    causes = dict.fromkeys(cause for queue in queues for cause in queue if cause != OTHER_CAUSES)
    chosen = {cause: palette(number % palette.N) for number, cause in enumerate(causes)}
    return chosen | {OTHER_CAUSES: OTHER_COLOUR}


def _find_span(queues: Iterable[BySecond]) -> tuple[int, int]:
    seconds = [second for by_second in queues for second in by_second]
    return min(seconds, default=0), max(seconds, default=0)


def _draw_queue(axis: Any, causes: Causes, colours: Mapping[str, Any], span: range) -> None:
    since = [second - span.start for second in span]
    rows = [[seconds.get(second, 0.0) for second in span] for seconds in causes.values()]
    own = [colours[cause] for cause in causes]
    axis.stackplot(since, rows, labels=list(causes), colors=own, step="post")
    axis.set_ylabel("task-seconds per second")
    axis.legend(fontsize=8, loc="upper left", bbox_to_anchor=(1.0, 1.0))
