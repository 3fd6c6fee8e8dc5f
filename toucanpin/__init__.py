"""
Toucanpin
=========

Toucanpin colocates latency-critical services, batch jobs and standing tasks on few hosts.  The
packages below it hold decisions without input or output; ``toucanpin.daemon`` is the shell that
connects them to sockets, and ``toucanpin.cli`` is the operators' tool.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
