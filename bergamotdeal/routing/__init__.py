"""Choice of the backend server that runs a call."""
