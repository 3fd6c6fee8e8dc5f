"""Events of all processes, merged into one timeline."""

from toucanpin.timeline.codec import decode_lines, encode_lines
from toucanpin.timeline.event import Cause, Event
from toucanpin.timeline.faults import Fault, explain_fault
from toucanpin.timeline.filters import Filter, select
from toucanpin.timeline.lanes import render_html, render_svg
from toucanpin.timeline.merge import identify, merge, skip_unreadable
from toucanpin.timeline.recorder import Excerpt, Recorder
from toucanpin.timeline.text import describe, render_text

__all__ = [
    "Cause",
    "Event",
    "Excerpt",
    "Fault",
    "Filter",
    "Recorder",
    "decode_lines",
    "describe",
    "encode_lines",
    "explain_fault",
    "identify",
    "skip_unreadable",
    "merge",
    "render_html",
    "render_svg",
    "render_text",
    "select",
]
