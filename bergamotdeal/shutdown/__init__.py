"""Final answers of the requests that are open when a node's process ends."""
