"""Membership of the entry hosts, a hint on which no safety property depends."""

from toucanpin.membership.beat import *  # noqa: F403
from toucanpin.membership.member import *  # noqa: F403
from toucanpin.membership.view import *  # noqa: F403
