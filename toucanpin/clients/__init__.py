"""
What clients may make a process hold: connections and bytes, counted for each listener.

A listener counts each connection and all that it holds for it in one ``Budget``, before it holds
it.  Nothing is held for a client that isn't counted there.
"""

from toucanpin.clients.budget import Account, Budget, Reason
from toucanpin.clients.intake import Intake
from toucanpin.clients.limits import UNLIMITED, Limits, ListenerLimits, divide_limits
from toucanpin.clients.listener import Listener
from toucanpin.clients.session import Session

__all__ = [
    "UNLIMITED",
    "Account",
    "Budget",
    "Intake",
    "Limits",
    "Listener",
    "ListenerLimits",
    "Reason",
    "Session",
    "divide_limits",
]
