"""What must hold over a trace of the JSON API's simulator."""
