"""Reads JSON documents from files or standard input."""

import sys

import result

import basaltport.configuration.read as read

STANDARD_INPUT = "-"


def read_document(path: str) -> result.Result[object, str]:
    """Read the JSON document of a file, or of standard input for `-`; Err holds one finding per line."""
    try:
        text = _read_text(path)
    except (OSError, UnicodeDecodeError) as error:
        return result.Err(f"{path}: {getattr(error, 'strerror', None) or 'not text'}")
    document: result.Result[object, list[dict[str, str]]] = read.loads(text)
    if isinstance(document, result.Err):
        lines = (f"{path}: {row['place']}: {row['finding']}" for row in document.err_value)
        return result.Err("\n".join(line.replace(": : ", ": ") for line in lines))
    return document


def _read_text(path: str) -> str:
    if path == STANDARD_INPUT:
        return sys.stdin.read()
    with open(path) as file:
        return file.read()
