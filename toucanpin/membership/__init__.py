"""Membership of the entry hosts, which gives hints and no safety."""

from toucanpin.membership.beat import *  # noqa: F403
from toucanpin.membership.member import *  # noqa: F403
from toucanpin.membership.view import *  # noqa: F403
