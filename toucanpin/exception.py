"""
Exceptions
==========

Base classes of the errors that end an operation.  Outcomes that a caller must weigh, such as a
write whose answer was lost, are values of ``expression.Result`` and not exceptions.
"""

__all__ = [
    "ToucanpinError",
    "SettingsError",
    "MalformedError",
    "WireError",
    "PlatformError",
    "BundleError",
    "LedgerError",
]


class ToucanpinError(Exception):
    """Serve as the base of every exception that the package raises."""


class SettingsError(ToucanpinError):
    """Report settings that can't be used, one line for each fault."""

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class MalformedError(ToucanpinError):
    """Report bytes that aren't a value of the expected type."""


class WireError(ToucanpinError):
    """Report an inner message that can't be understood or trusted."""


class PlatformError(ToucanpinError):
    """Report an answer of the platform that breaks its published protocol."""


class BundleError(ToucanpinError):
    """Report a bundle that can't be accepted, one line for each fault."""

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class LedgerError(ToucanpinError):
    """Report a change that would commit a worker beyond its size; it is never written."""
