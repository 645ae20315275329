"""The mechanisms under ablation, each with the edits that disable it.

An edit is (file, text, replacement); the text must occur exactly once in the file.
Edits are applied to a clone, so the product needs no switches for them.
"""

CHOICE = "internal/steer/choice.go"
PLACE = "internal/steer/place.go"
WAITLIST = "internal/edge/waitlist.go"
LIVENESS = "internal/registry/liveness.go"
SETTINGS = "internal/registry/settings.go"
MEMBERSHIP = "internal/registry/membership.go"
ELECTION = "internal/raft/election.go"

MECHANISMS = {
    "none": [],
    "own-zone": [(CHOICE, "crossZoneCost = 0.5", "crossZoneCost = 0.0")],
    "waiting-flows": [(PLACE, "entry.waitingFlows,", "0,")],
    "doubt": [(PLACE, "return openingUnanswered || entry", "return openingUnanswered && false || entry")],
    "second-target": [(PLACE, "\t\ttried = flow.tried\n", "\t\ttried = nil\n")],
    "doubt-and-second": [
        (PLACE, "return openingUnanswered || entry", "return openingUnanswered && false || entry"),
        (PLACE, "\t\ttried = flow.tried\n", "\t\ttried = nil\n"),
    ],
    "waitlist": [(WAITLIST, "\tif !known {\n\t\tif len(", "\tif !known {\n\t\tif true || len(")],
    "remembered-targets": [("internal/registry/nodes.go", "\tc.sendRemembered(now, connection)\n", "")],
    "release-window": [(WAITLIST, "releaseWindow = 6", "releaseWindow = 1000")],
    "suspicion": [(SETTINGS, "SuspectAfter:    3200 * time.Millisecond", "SuspectAfter:    3200 * time.Hour")],
    "lost-verdict": [(LIVENESS, "if c.isLost(now, target, liveness) {", "if false && c.isLost(now, target, liveness) {")],
    "questions": [(LIVENESS, "queryDuration = 250 * time.Millisecond", "queryDuration = 0 * time.Millisecond")],
    "half-of-all": [(LIVENESS, "verdictShareDivisor = 2", "verdictShareDivisor = 1")],
    "two-observers": [(LIVENESS, "minSilentNodes = 2", "minSilentNodes = 1")],
    "pre-vote": [(SETTINGS, "VoteAfterRestart: true,", "VoteAfterRestart: true,\n\t\t\tMechanisms: raft.Mechanisms{NoPreVote: true},")],
    "check-quorum": [(SETTINGS, "VoteAfterRestart: true,", "VoteAfterRestart: true,\n\t\t\tMechanisms: raft.Mechanisms{NoCheckQuorum: true},")],
    "unbound-restart": [(SETTINGS, "VoteAfterRestart: true,", "VoteAfterRestart: false,")],
    "pledge": [(ELECTION, " && n.grantPreVote(now, message.From)\n\treply", "\n\treply")],
    "voter-replacement": [(MEMBERSHIP, "return silent, silent != raft.NoMember", "return silent, false")],
    "overlapping-dials": [("internal/peerlink/dial.go", "dialStagger = 40 * time.Millisecond", "dialStagger = 200 * time.Millisecond")],
    "update-pacing": [("internal/registry/nodes.go", "updateIntervalPerNode = 2 * time.Millisecond", "updateIntervalPerNode = 0 * time.Millisecond")],
    "member-zones": [("internal/steer/memberlist.go", "\tif member.Zone == l.Zone {\n\t\treturn 0\n", "\tif true {\n\t\treturn 0\n")],
    "heartbeats-at-nodes": [("internal/edge/subscriber.go", "HeartbeatAddress: s.process.settings.HeartbeatAddress", "HeartbeatAddress: \"\"")],
}
