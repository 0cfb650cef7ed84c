"""Runs the command line by ``python -m bergamotdeal`` or the binary."""

from bergamotdeal.cli import main


def run() -> None:
    """Runs the command line under the program's own name."""
    main.main(prog_name="bergamotdeal")


if __name__ == "__main__":
    run()
