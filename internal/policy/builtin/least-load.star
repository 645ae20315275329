# Gives a target with idle slots and few connections a larger share. A report
# that is old counts half way towards the even share, so that a lagging report
# cannot steer all new flows to one target.

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
