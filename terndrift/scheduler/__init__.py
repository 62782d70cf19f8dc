"""Background work in slices: priorities, budgets, deadlines and fairness beside the event loop's own work.

`plan` decides, free of I/O and clocks; `runner` runs what it says.
"""
