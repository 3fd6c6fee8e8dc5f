"""The platform's services behind four narrow ports, and the adapters that reach them."""

from toucanpin.platform.ports import *  # noqa: F403
