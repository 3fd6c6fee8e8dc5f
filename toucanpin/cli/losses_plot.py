"""
Plot of where jobs' time went
=============================

Draw by queue how many tasks were in each state over the day.
"""

from __future__ import annotations

import io
from collections.abc import Iterable, Mapping
from typing import Any

__all__ = ["draw_losses", "rank_causes"]

BySecond = Mapping[int, Mapping[str, float]]
Causes = Mapping[str, Mapping[int, float]]

MAX_CAUSES_SHOWN = 9  # causes of a queue that are drawn alone
OTHER_CAUSES = "other"
PALETTE = "tab20"
OTHER_COLOUR = "lightgrey"
WIDTH_INCHES = 11.0  # inches
QUEUE_HEIGHT_INCHES = 3.2  # inches a queue


def rank_causes(by_second: BySecond) -> dict[str, dict[int, float]]:
    """Return the seconds of each cause over the day, the largest first and small ones as one."""
    seconds: dict[str, dict[int, float]] = {}
    for second, causes in by_second.items():
        for cause, value in causes.items():
            seconds.setdefault(cause, {})[second] = value
    ranked = sorted(seconds, key=lambda cause: (-sum(seconds[cause].values()), cause))
    shown = {cause: seconds[cause] for cause in ranked[:MAX_CAUSES_SHOWN]}
    for cause in ranked[MAX_CAUSES_SHOWN:]:
        rest = shown.setdefault(OTHER_CAUSES, {})
        for second, value in seconds[cause].items():
            rest[second] = rest.get(second, 0.0) + value
    return shown


def draw_losses(by_queue: Mapping[str, BySecond]) -> str:
    """
    Return the picture as SVG, ImportError without matplotlib.

    It isn't imported with the module, since installations don't have it.
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
    axes[-1].set_xlabel("seconds since the first that is told of")
    content = io.StringIO()
    # The same logs give the same bytes, and words stay words.
    with matplotlib.rc_context({"svg.hashsalt": "toucanpin", "svg.fonttype": "none"}):
        figure.savefig(content, format="svg", metadata={"Date": None})
    return content.getvalue()


def _choose_colours(queues: Iterable[Causes], palette: Any) -> dict[str, Any]:
    """Return a colour for each cause, the same in all queues."""
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
    axis.set_ylabel("task-seconds a second")
    axis.legend(fontsize=8, loc="upper left", bbox_to_anchor=(1.0, 1.0))
