"""Interfaces to the platform's services and the adapters that implement them."""

from toucanpin.platform.ports import *  # noqa: F403
