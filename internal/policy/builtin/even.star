# Distributes new flows evenly. During its cold start, a target's weight increases
# linearly with its uptime.

def weight(target):
    full = 128
    if target.cold_start_ms <= 0 or target.uptime_ms >= target.cold_start_ms:
        return full
    return max(8, full * target.uptime_ms // target.cold_start_ms)
