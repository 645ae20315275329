package directory

import (
	"sort"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// Update brings a node from one revision to a later one. It holds either the missing
// edits or the whole configuration.
type Update struct {
	Revision uint64
	// Whole is set if Configuration replaces that of the node.
	Whole         bool
	Configuration Configuration
	Edits         []Edit
	// Targets holds the current state of the targets that changed.
	Targets []Target
	// Members is the whole list if it changed, else nil.
	Members []Member
	// Evacuations is the whole list if it changed, else nil.
	Evacuations []Evacuation
}

// UpdateSince returns the changes after a revision for a node, without annotations.
// Revision 0 requests the whole state.
func (s *State) UpdateSince(revision uint64) Update {
	update := Update{Revision: s.revision}
	if s.configRevision > revision {
		s.addConfiguration(&update, revision)
	}
	for _, target := range s.ChangedTargets(revision) {
		if revision > 0 || target.State != TargetEnded {
			update.Targets = append(update.Targets, target)
		}
	}
	if s.memberRevision > revision || revision == 0 {
		update.Members = s.Members()
	}
	if s.evacuationRevision > revision {
		update.Evacuations = s.Evacuations()
	}
	return update
}

// ChangedTargets returns the targets that changed after a revision, in the order
// of their changes.
func (s *State) ChangedTargets(revision uint64) []Target {
	var targets []Target
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].revision > revision })
	for _, changed := range s.changes[first:] {
		if changed.isLatest() {
			targets = append(targets, *changed.target)
		}
	}
	return targets
}

// addConfiguration adds the edits after a revision, or the whole configuration if the
// base of the oldest of these edits may be newer than what the node has.
func (s *State) addConfiguration(update *Update, revision uint64) {
	first := len(s.edits)
	for first > 0 && s.edits[first-1].revision > revision {
		first--
	}
	if first == 0 || revision == 0 {
		update.Whole = true
		update.Configuration = s.configuration.withoutAnnotations()
		return
	}
	for _, kept := range s.edits[first:] {
		update.Edits = append(update.Edits, kept.edit.withoutAnnotations())
	}
}

// EncodeUpdate encodes an update and compresses it if it is large.
func EncodeUpdate(update Update) []byte {
	var encoder wire.Encoder
	encoder.Uint64(update.Revision)
	encoder.Bool(update.Whole)
	if update.Whole {
		encodeConfiguration(&encoder, update.Configuration)
	}
	encoder.Uint32(uint32(len(update.Edits)))
	for _, edit := range update.Edits {
		encodeEdit(&encoder, edit)
	}
	encodeTargets(&encoder, update.Targets)
	EncodeMembers(&encoder, update.Members)
	encodeEvacuations(&encoder, update.Evacuations)
	return wire.Compress(encoder.Buffer)
}

// minEditSize is the minimum encoded size of an edit in bytes.
const minEditSize = 36

// DecodeUpdate decodes an update.
func DecodeUpdate(data []byte) (Update, error) {
	unpacked, err := wire.Decompress(data)
	if err != nil {
		return Update{}, err
	}
	decoder := wire.NewDecoder(unpacked)
	update := Update{Revision: decoder.Uint64(), Whole: decoder.Bool()}
	if update.Whole {
		update.Configuration = decodeConfiguration(decoder)
	}
	for count := decoder.Count(minEditSize); count > 0; count-- {
		update.Edits = append(update.Edits, decodeEdit(decoder))
	}
	update.Targets = decodeTargets(decoder)
	update.Members = DecodeMembers(decoder)
	update.Evacuations = decodeEvacuations(decoder)
	return update, decoder.Err("directory.decode_update")
}
