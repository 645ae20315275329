package wire

// NodeReport is the heartbeat of a balancer to the control plane. It renews the lease and
// confirms the applied configuration.
type NodeReport struct {
	// Nonce identifies this run of the process.
	Nonce uint64
	// Sequence counts the reports; the grant echoes it.
	Sequence uint64
	Applied  uint64
	View     uint64
	Cell     uint32
	// Settled is set if the balancer has completed all handovers that the newest view
	// requires of it, both outgoing and incoming.
	Settled bool
	// Leaving is set if the process has been asked to stop.
	Leaving bool
	// Introduction is present until the balancer has an ID.
	Introduction *NodeIntroduction
}

// NodeIntroduction describes a balancer that is not in a view yet.
type NodeIntroduction struct {
	Name  string
	Zone  string
	Peer  string
	Admin string
}

// EncodeNodeReport appends a report to the encoder.
func EncodeNodeReport(encoder *Encoder, report NodeReport) {
	encoder.Uint64(report.Nonce)
	encoder.Uint64(report.Sequence)
	encoder.Uint64(report.Applied)
	encoder.Uint64(report.View)
	encoder.Uint32(report.Cell)
	encoder.Bool(report.Settled)
	encoder.Bool(report.Leaving)
	encoder.Bool(report.Introduction != nil)
	if report.Introduction != nil {
		encoder.String(report.Introduction.Name)
		encoder.String(report.Introduction.Zone)
		encoder.String(report.Introduction.Peer)
		encoder.String(report.Introduction.Admin)
	}
}

// DecodeNodeReport decodes a report.
func DecodeNodeReport(decoder *Decoder) NodeReport {
	report := NodeReport{
		Nonce:    decoder.Uint64(),
		Sequence: decoder.Uint64(),
		Applied:  decoder.Uint64(),
		View:     decoder.Uint64(),
		Cell:     decoder.Uint32(),
		Settled:  decoder.Bool(),
		Leaving:  decoder.Bool(),
	}
	if decoder.Bool() {
		report.Introduction = &NodeIntroduction{
			Name:  decoder.String(),
			Zone:  decoder.String(),
			Peer:  decoder.String(),
			Admin: decoder.String(),
		}
	}
	return report
}

// Grant is the leader's answer to a report.
type Grant struct {
	Nonce    uint64
	Sequence uint64
	// ID is the balancer's ID in the view, or 0 if it is in none.
	ID uint32
	// LeaseMilliseconds is the duration of the lease, starting when the balancer sent the
	// report; 0 grants no lease.
	LeaseMilliseconds uint32
	// Revision is the newest revision, and CellRevision the newest one that changed the
	// balancer's cell.
	Revision     uint64
	CellRevision uint64
}

// EncodeGrant appends a grant to the encoder.
func EncodeGrant(encoder *Encoder, grant Grant) {
	encoder.Uint64(grant.Nonce)
	encoder.Uint64(grant.Sequence)
	encoder.Uint32(grant.ID)
	encoder.Uint32(grant.LeaseMilliseconds)
	encoder.Uint64(grant.Revision)
	encoder.Uint64(grant.CellRevision)
}

// DecodeGrant decodes a grant.
func DecodeGrant(decoder *Decoder) Grant {
	return Grant{
		Nonce:             decoder.Uint64(),
		Sequence:          decoder.Uint64(),
		ID:                decoder.Uint32(),
		LeaseMilliseconds: decoder.Uint32(),
		Revision:          decoder.Uint64(),
		CellRevision:      decoder.Uint64(),
	}
}

// TargetSignal is the weight and liveness of one target.
type TargetSignal struct {
	TargetID uint32
	// Weight is the target's share of new flows; 0 means none.
	Weight uint8
	// Alive is false if the control plane considers the target dead.
	Alive bool
	// Run identifies the run of the target's process; 0 means unknown.
	Run uint32
	// UptimeMilliseconds is how long that run has lasted.
	UptimeMilliseconds uint32
}

// Signals holds the signals of all targets of a cell.
type Signals struct {
	// Term and Sequence order the signals, also across changes of the leader.
	Term     uint64
	Sequence uint64
	Cell     uint32
	Targets  []TargetSignal
}

const signalSize = 14

// EncodeSignals appends signals to the encoder.
func EncodeSignals(encoder *Encoder, signals Signals) {
	encoder.Uint64(signals.Term)
	encoder.Uint64(signals.Sequence)
	encoder.Uint32(signals.Cell)
	encoder.Uint32(uint32(len(signals.Targets)))
	for _, signal := range signals.Targets {
		encoder.Uint32(signal.TargetID)
		encoder.Uint8(signal.Weight)
		encoder.Bool(signal.Alive)
		encoder.Uint32(signal.Run)
		encoder.Uint32(signal.UptimeMilliseconds)
	}
}

// DecodeSignals decodes signals.
func DecodeSignals(decoder *Decoder) Signals {
	signals := Signals{
		Term:     decoder.Uint64(),
		Sequence: decoder.Uint64(),
		Cell:     decoder.Uint32(),
	}
	count := decoder.Count(signalSize)
	for ; count > 0; count-- {
		signals.Targets = append(signals.Targets, TargetSignal{
			TargetID: decoder.Uint32(),
			Weight:   decoder.Uint8(),
			Alive:    decoder.Bool(),
			Run:      decoder.Uint32(),

			UptimeMilliseconds: decoder.Uint32(),
		})
	}
	return signals
}
