"""Exit codes of the server programs."""

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
