package directory

import "github.com/beamdoor/beamdoor/internal/wire"

// Remembered is what the disk of a member tells a node while no member is current.
type Remembered struct {
	// Targets are those that have not ended. The packets of their open flows can follow
	// them; only those that are ready may get new flows.
	Targets []Target
	// Configuration is the newest one that is known to be committed. Without one, of
	// version 0, no new flow can be placed.
	Configuration Configuration
}

// EncodeRemembered returns the bytes of what a disk remembers, compressed when they are
// many. Text that is kept for operators is left out.
func EncodeRemembered(remembered Remembered) []byte {
	var encoder wire.Encoder
	encodeTargets(&encoder, remembered.Targets)
	if remembered.Configuration.Version > 0 {
		encodeConfiguration(&encoder, remembered.Configuration.bare())
	}
	return wire.Compress(encoder.Buffer)
}

// DecodeRemembered reads what a disk remembers.
func DecodeRemembered(data []byte) (Remembered, error) {
	unpacked, err := wire.Decompress(data)
	if err != nil {
		return Remembered{}, err
	}
	decoder := wire.NewDecoder(unpacked)
	remembered := Remembered{Targets: decodeTargets(decoder)}
	// Members of versions that told targets alone end here.
	if decoder.HasMore() {
		remembered.Configuration = decodeConfiguration(decoder)
	}
	return remembered, decoder.Err("directory.decode_remembered")
}
