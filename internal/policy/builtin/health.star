# Excludes a target that reports not ready, sheds load, or has missed two reports.

def leave_alone(target):
    if not target.ready:
        return "target reports that it is not ready"
    if target.shedding:
        return "target sheds load"
    if target.failures >= 2:
        return "target missed %d reports" % target.failures
    return None
