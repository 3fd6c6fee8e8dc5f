"""The inner protocol between the processes of the system."""
