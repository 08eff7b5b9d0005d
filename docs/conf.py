"""Sphinx configuration."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent / "extensions"))

project = "sardinedoor"
extensions = ["myst_parser", "settings_reference"]
source_suffix = {".rst": "restructuredtext", ".md": "markdown"}
exclude_patterns = ["_build"]
html_theme = "alabaster"
