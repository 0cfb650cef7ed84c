"""Small stand-ins of the platform for the scripts in review/."""
