"""Admission control with fair shares, and retry budgets."""
