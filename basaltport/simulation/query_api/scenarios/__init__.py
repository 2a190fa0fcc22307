"""What happens in runs of the JSON API's simulator."""
