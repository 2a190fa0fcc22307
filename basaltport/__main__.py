"""Entry for `python -m basaltport`."""

import basaltport.main as main

main.run()
