"""Sphinx configuration."""

project = "sardinedoor"
extensions = ["myst_parser"]
source_suffix = {".rst": "restructuredtext", ".md": "markdown"}
exclude_patterns = ["_build"]
html_theme = "alabaster"
