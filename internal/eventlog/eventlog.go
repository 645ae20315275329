// Package eventlog writes structured log lines, each with a numbered event that
// docs/EVENTS.md documents for operators.
package eventlog

import (
	"fmt"
	"io"
	"time"

	"github.com/go-kit/log"
)

// ID is the number of an event. Numbers are stable and never reused.
type ID uint16

// Events of the control members (1000 to 1999).
const (
	ProcessStarted       ID = 1000
	ProcessStopped       ID = 1001
	StopRequested        ID = 1002
	RoleChanged          ID = 1010
	SnapshotSaved        ID = 1011
	SnapshotInstalled    ID = 1012
	DiskFailed           ID = 1013
	TailCut              ID = 1014
	GroupFounded         ID = 1015
	FoundingRefused      ID = 1016
	BadFrame             ID = 1020
	PeerConnected        ID = 1021
	PeerLost             ID = 1022
	ViewChanged          ID = 1030
	BalancerExpired      ID = 1031
	LeaderStalled        ID = 1032
	WriteAccepted        ID = 1040
	WriteRefused         ID = 1041
	PolicyFailed         ID = 1050
	TargetVerdict        ID = 1051
	MemberNumbered       ID = 1060
	MembersChanged       ID = 1061
	MembershipProposed   ID = 1062
	MembershipRefused    ID = 1063
	MemberRemoved        ID = 1064
	GroupSizeChanged     ID = 1065
	QuorumMissing        ID = 1066
	ZoneToleranceChanged ID = 1067
	NodeSubscribed       ID = 1070
	NodeReferred         ID = 1071
	RosterRead           ID = 1072
	RosterFailed         ID = 1073
	NodesAnnounced       ID = 1074
	VersionAccepted      ID = 1080
	VersionRefused       ID = 1081
	VersionUnanswered    ID = 1082
	VersionInForce       ID = 1083
	RequestGivenUp       ID = 1084
	ReplyUnmatched       ID = 1085
	TargetStage          ID = 1090
	TargetsSuspected     ID = 1091
	TargetHeldLost       ID = 1092
	ZoneAvoided          ID = 1093
	TargetEjected        ID = 1094
	TargetOnProbation    ID = 1095
	TargetReadmitted     ID = 1096
	AddressTaken         ID = 1097
	SettingsReloaded     ID = 1100

	EvacuationAccepted   ID = 1110
	EvacuationRefused    ID = 1111
	EvacuationUnanswered ID = 1112
	EvacuationInForce    ID = 1113
	WarmthUnreadable     ID = 1114

	TargetOrderAccepted   ID = 1115
	TargetOrderRefused    ID = 1116
	TargetOrderUnanswered ID = 1117
	TargetOrderInForce    ID = 1118
	CallRefused           ID = 1119

	StrengthChanged       ID = 1120
	StrengthBounded       ID = 1121
	DiskFilling           ID = 1122
	DiskRelieved          ID = 1123
	MemberConnectionsFull ID = 1124
	ZoneShortOfRoom       ID = 1125
	ZonesHaveRoom         ID = 1126
	OrderUnconfirmed      ID = 1127
	SpeedsDiffer          ID = 1130
	SpeedsAlike           ID = 1131

	VersionHeld          ID = 1135
	VersionOnTrial       ID = 1136
	VersionReadmitted    ID = 1137
	VersionOrderAccepted ID = 1138
	VersionOrderRefused  ID = 1139
	StateRemembered      ID = 1140
)

// Events of the balancers (2000 to 2999).
const (
	ConfigApplied      ID = 2000
	ConfigIgnored      ID = 2001
	LeaseLost          ID = 2010
	LeaseGained        ID = 2011
	ViewAdopted        ID = 2020
	HandoverDone       ID = 2021
	HistoryUnknown     ID = 2022
	HandoverPlanned    ID = 2023
	TargetLost         ID = 2030
	TargetRestarted    ID = 2031
	PacketRefused      ID = 2040
	ControlLost        ID = 2050
	ControlConnected   ID = 2051
	ControlRegained    ID = 2052
	FlowTableFull      ID = 2060
	LedgerFull         ID = 2061
	RequestUnknown     ID = 2070
	SocketFailed       ID = 2080
	DrainLingerExpired ID = 2090
	DirectoryUpdated   ID = 2100
	DirectoryRefused   ID = 2101
	MemberNotCurrent   ID = 2102
	TargetsRemembered  ID = 2103
	ZonesEvacuated     ID = 2104
	MemberAnnounced    ID = 2105
	AnnouncementsOff   ID = 2106
	ReadinessChanged   ID = 2110
	FlowPlaced         ID = 2120
	FlowPlacedAgain    ID = 2121
	FlowReset          ID = 2122
	PacketDropped      ID = 2123
	ProbeNotMade       ID = 2124
	OpeningsUnanswered ID = 2125
	LinesLeftOut       ID = 2130
	LinkCongested      ID = 2140
	LinkRelieved       ID = 2141
	FlowWaitedForLink  ID = 2142
	LinkNarrower       ID = 2143
	LinkAsStated       ID = 2144

	BoundsSet           ID = 2150
	FlowsFull           ID = 2151
	WaitlistFull        ID = 2152
	NodeConnectionsFull ID = 2153
	StrengthTold        ID = 2154
	NodeRefuses         ID = 2155
	NodeTakesAll        ID = 2156
	OpeningHeld         ID = 2157
	SpeedsTaken         ID = 2160
	RememberedInUse     ID = 2170
	RememberedOver      ID = 2171
)

// Description is the catalogue entry of an event.
type Description struct {
	ID   ID
	Name string
	// Text is the message of the log line.
	Text string
}

var catalogue = []Description{
	{ProcessStarted, "process_started", "process started"},
	{ProcessStopped, "process_stopped", "process stopped"},
	{StopRequested, "stop_requested", "stop requested by signal"},
	{RoleChanged, "role_changed", "role or term of the member changed"},
	{SnapshotSaved, "snapshot_saved", "snapshot saved and log compacted"},
	{SnapshotInstalled, "snapshot_installed", "snapshot of the leader installed"},
	{DiskFailed, "disk_failed", "disk write failed; the member stops"},
	{TailCut, "tail_cut", "incomplete record truncated from the end of the log"},
	{GroupFounded, "group_founded", "all initial members have empty data folders; the group was bootstrapped"},
	{FoundingRefused, "founding_refused", "bootstrap refused: the data folder is empty but the group exists; remove this member and add it under a new id"},
	{BadFrame, "bad_frame", "frame could not be decoded"},
	{PeerConnected, "peer_connected", "connection to a control member opened"},
	{PeerLost, "peer_lost", "connection to a control member lost"},
	{ViewChanged, "view_changed", "view of a cell changed"},
	{BalancerExpired, "balancer_expired", "lease of a balancer expired"},
	{LeaderStalled, "leader_stalled", "the leader was paused; the leases of all balancers are extended"},
	{WriteAccepted, "write_accepted", "write of an operator accepted"},
	{WriteRefused, "write_refused", "write of an operator refused"},
	{PolicyFailed, "policy_failed", "policy program failed; its last verdict stays in force"},
	{TargetVerdict, "target_verdict", "verdict on a target changed"},
	{MemberNumbered, "member_numbered", "member joined the group under its number"},
	{MembersChanged, "members_changed", "control member added or removed"},
	{MembershipProposed, "membership_proposed", "membership change proposed"},
	{MembershipRefused, "membership_refused", "membership change could not be proposed"},
	{MemberRemoved, "member_removed", "this member was removed from the group and restarts with an empty data folder"},
	{GroupSizeChanged, "group_size_changed", "the group became too small to tolerate the required member failures, or large enough again"},
	{QuorumMissing, "quorum_missing", "no leader heard for a long time; too few voters are reachable"},
	{ZoneToleranceChanged, "zone_tolerance_changed", "the voters became unable to tolerate the loss of the configured zones, or able again"},
	{NodeSubscribed, "node_subscribed", "node subscribed to updates"},
	{NodeReferred, "node_referred", "node that knows only seed members was referred to members of its zone"},
	{RosterRead, "roster_read", "node roster of the member's previous run read from disk"},
	{RosterFailed, "roster_failed", "node roster could not be read or written, or its nodes not notified"},
	{NodesAnnounced, "nodes_announced", "this member's address announced to the nodes in its roster"},
	{VersionAccepted, "version_accepted", "configuration committed by a quorum"},
	{VersionRefused, "version_refused", "configuration refused"},
	{VersionUnanswered, "version_unanswered", "timed out waiting for the group to commit the configuration"},
	{VersionInForce, "version_in_force", "configuration version in force"},
	{RequestGivenUp, "request_given_up", "request of this member to the group timed out"},
	{ReplyUnmatched, "reply_unmatched", "reply of the leader matches no open request and is ignored"},
	{TargetStage, "target_stage", "lifecycle state of a target changed"},
	{TargetsSuspected, "targets_suspected", "set of suspected targets, which missed recent heartbeats, changed"},
	{TargetHeldLost, "target_held_lost", "target considered dead: callers wait for responses and no node has seen it alive"},
	{ZoneAvoided, "zone_avoided", "most opening packets to a zone were not accepted; new flows avoid it temporarily"},
	{TargetEjected, "target_ejected", "target ejected: its failure rate is far above that of the others of its service; it gets no new flows for the hold time"},
	{TargetOnProbation, "target_on_probation", "ejected target on probation: it gets a few flows of idempotent requests"},
	{TargetReadmitted, "target_readmitted", "target readmitted after probation: it succeeds or had no traffic, and gets new flows again"},
	{AddressTaken, "address_taken", "first heartbeat refused: its address belongs to another target heard recently"},
	{SettingsReloaded, "settings_reloaded", "settings file reloaded"},
	{EvacuationAccepted, "evacuation_accepted", "zone evacuation order committed by a quorum"},
	{EvacuationRefused, "evacuation_refused", "zone evacuation order refused"},
	{EvacuationUnanswered, "evacuation_unanswered", "the group did not commit the zone evacuation order"},
	{EvacuationInForce, "evacuation_in_force", "zone evacuation started or ended"},
	{WarmthUnreadable, "warmth_unreadable", "cold-start settings of a service cannot be parsed and are ignored"},
	{TargetOrderAccepted, "target_order_accepted", "target order committed by a quorum"},
	{TargetOrderRefused, "target_order_refused", "target order refused: unknown target"},
	{TargetOrderUnanswered, "target_order_unanswered", "the group did not commit the target order"},
	{TargetOrderInForce, "target_order_in_force", "target order in force at this member"},
	{CallRefused, "call_refused", "HTTP request refused"},
	{StrengthChanged, "strength_changed", "node subscribed to this member reported a different strength"},
	{StrengthBounded, "strength_bounded", "node reported a strength far above the others; the value is capped"},
	{DiskFilling, "disk_filling", "disk usage of this member's data is near the limit"},
	{DiskRelieved, "disk_relieved", "disk usage of this member's data is below the limit again"},
	{MemberConnectionsFull, "member_connections_full", "HTTP connections to the member refused: connection limit reached"},
	{ZoneShortOfRoom, "zone_short_of_room", "most nodes of a zone refuse new flows for lack of capacity"},
	{ZonesHaveRoom, "zones_have_room", "no zone has most of its nodes refusing new flows any longer"},
	{OrderUnconfirmed, "order_unconfirmed", "operator's order not submitted: its caller is asked to confirm it"},
	{SpeedsDiffer, "speeds_differ", "targets of a service differ in service time for equal work"},
	{SpeedsAlike, "speeds_alike", "targets of a service have similar service times again"},
	{VersionHeld, "version_held", "version held: its targets get no new flows except trial flows"},
	{VersionOnTrial, "version_on_trial", "held version on trial: a few of its targets get a few flows of idempotent requests"},
	{VersionReadmitted, "version_readmitted", "held version readmitted: it gets new flows again"},
	{VersionOrderAccepted, "version_order_accepted", "version order committed by a quorum"},
	{VersionOrderRefused, "version_order_refused", "version order refused"},
	{StateRemembered, "state_remembered", "nodes without state are sent this member's persisted state until the member is current"},
	{ConfigApplied, "config_applied", "configuration applied"},
	{ConfigIgnored, "config_ignored", "configuration older than the current one ignored"},
	{LeaseLost, "lease_lost", "lease expired; new work is left to other balancers"},
	{LeaseGained, "lease_gained", "lease granted"},
	{ViewAdopted, "view_adopted", "new view of the cell adopted"},
	{HandoverDone, "handover_done", "record handover for the view completed"},
	{HistoryUnknown, "history_unknown", "records of earlier requests lost; their outcomes are unknown for the retransmission span"},
	{HandoverPlanned, "handover_planned", "record handover for the view planned"},
	{TargetLost, "target_lost", "target is dead; its flows are terminated"},
	{TargetRestarted, "target_restarted", "target restarted; pending requests of its previous run are ended"},
	{PacketRefused, "packet_refused", "packet refused"},
	{ControlLost, "control_lost", "connection to the control plane lost"},
	{ControlConnected, "control_connected", "connection to the control plane opened"},
	{ControlRegained, "control_regained", "a current control member is available again"},
	{FlowTableFull, "flow_table_full", "flow table is full; new flows are not tracked"},
	{LedgerFull, "ledger_full", "request ledger is full; new requests end with unknown outcome"},
	{RequestUnknown, "request_unknown", "request ended with unknown outcome"},
	{SocketFailed, "socket_failed", "socket operation failed"},
	{DrainLingerExpired, "drain_linger_expired", "drain timeout expired; stop forced before all work in progress completed"},
	{DirectoryUpdated, "directory_updated", "update of configuration and targets applied"},
	{DirectoryRefused, "directory_refused", "update does not match the node's state; full state requested"},
	{MemberNotCurrent, "member_not_current", "control member is not current; trying another one"},
	{TargetsRemembered, "targets_remembered", "targets from a member's persisted state accepted before any member is current"},
	{ZonesEvacuated, "zones_evacuated", "set of evacuated zones at this node changed"},
	{MemberAnnounced, "member_announced", "member announced itself to this node"},
	{AnnouncementsOff, "announcements_off", "the node cannot receive member announcements"},
	{ReadinessChanged, "readiness_changed", "readiness of the node changed"},
	{FlowPlaced, "flow_placed", "new flow assigned to a target"},
	{FlowPlacedAgain, "flow_placed_again", "copy of an opening packet sent to a second target"},
	{FlowReset, "flow_reset", "flow reset by the node"},
	{PacketDropped, "packet_dropped", "packet dropped"},
	{ProbeNotMade, "probe_not_made", "liveness probe of a target not made: no connection could be opened"},
	{OpeningsUnanswered, "openings_unanswered", "target leaves opening packets unanswered, but has not been found unreachable; it may be full"},
	{LinesLeftOut, "lines_left_out", "log lines suppressed by rate limiting"},
	{LinkCongested, "link_congested", "queueing delay on the node's own link is high"},
	{LinkRelieved, "link_relieved", "queueing delay on the node's own link is normal again"},
	{FlowWaitedForLink, "flow_waited_for_link", "packet had a long queueing delay on the node's own link"},
	{LinkNarrower, "link_narrower", "rate of the node's own link is below the configured rate"},
	{LinkAsStated, "link_as_stated", "rate of the node's own link is at the configured rate again"},
	{BoundsSet, "bounds_set", "resource limits of the node set from its machine"},
	{FlowsFull, "flows_full", "flow limit reached: new flow forwarded without tracking"},
	{WaitlistFull, "waitlist_full", "packet received before the node was ready dropped: wait queue full"},
	{NodeConnectionsFull, "node_connections_full", "HTTP connections to the node refused: connection limit reached"},
	{StrengthTold, "strength_told", "node reported a changed strength to its member"},
	{NodeRefuses, "node_refuses", "new flows are refused because other nodes of the zone have more capacity"},
	{NodeTakesAll, "node_takes_all", "no new flow is refused for lack of capacity any longer"},
	{OpeningHeld, "opening_held", "opening packet held until the node's own link had capacity for its data"},
	{SpeedsTaken, "speeds_taken", "service times of targets received"},
	{RememberedInUse, "remembered_in_use", "new flows are placed by a member's persisted state"},
	{RememberedOver, "remembered_over", "new flows are no longer placed by a member's persisted state"},
}

// Catalogue returns the descriptions of all events, ordered by ID.
func Catalogue() []Description { return catalogue }

func describe(id ID) Description {
	for _, description := range catalogue {
		if description.ID == id {
			return description
		}
	}
	return Description{ID: id, Name: "unknown", Text: fmt.Sprintf("event %d", id)}
}

// Logger writes numbered events as logfmt lines.
type Logger struct {
	base    log.Logger
	limiter rateLimiter
}

// New returns a logger that writes one logfmt line per event.
func New(writer io.Writer, process string) *Logger {
	base := log.NewLogfmtLogger(log.NewSyncWriter(writer))
	base = log.With(base, "ts", log.TimestampFormat(time.Now, time.RFC3339Nano), "process", process)
	return &Logger{base: base}
}

// Discard returns a logger that drops all events.
func Discard() *Logger { return &Logger{base: log.NewNopLogger()} }

// Event writes an event with alternating keys and values.
func (l *Logger) Event(id ID, fields ...any) {
	description := describe(id)
	line := append([]any{"event", uint16(id), "name", description.Name, "msg", description.Text}, fields...)
	_ = l.base.Log(line...)
}
