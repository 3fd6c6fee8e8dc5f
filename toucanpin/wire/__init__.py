"""The inner protocol, spoken between the processes of a deployment."""

from toucanpin.wire.client import *  # noqa: F403
from toucanpin.wire.codec import *  # noqa: F403
from toucanpin.wire.datagram import *  # noqa: F403
from toucanpin.wire.identity import *  # noqa: F403
from toucanpin.wire.keys import *  # noqa: F403
from toucanpin.wire.messages import *  # noqa: F403
from toucanpin.wire.server import *  # noqa: F403
