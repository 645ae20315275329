# Weights targets by idle slots and open connections. A stale report is averaged with
# the even weight, so that it cannot attract all new flows to one target.

def weight(target):
    slots = max(1, target.slots)
    busy = min(3 * slots, target.busy + target.queued)
    share = 160 - 32 * busy // slots
    open_share = target.connections * 100 // max(1, target.capacity)
    share = share - open_share * 60 // 100
    if target.age_ms > 3000:
        share = (share + 128) // 2
    if target.cold_start_ms > 0 and target.uptime_ms < target.cold_start_ms:
        share = share * target.uptime_ms // target.cold_start_ms
    return max(8, min(255, share))
