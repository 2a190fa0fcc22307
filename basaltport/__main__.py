"""Entry point of `python -m basaltport`."""

import basaltport.main as main

main.run()
