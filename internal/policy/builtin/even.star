# Shares new flows evenly; a target that has just started gets a share that
# rises with its uptime.

def weight(target):
    full = 128
    if target.cold_start_ms <= 0 or target.uptime_ms >= target.cold_start_ms:
        return full
    return max(8, full * target.uptime_ms // target.cold_start_ms)
