"""HTTP pages for operators: metrics, status, readiness, explanations."""
