"""The node process: its tasks, sockets and timers."""
