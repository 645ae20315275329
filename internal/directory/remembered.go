package directory

import "github.com/beamdoor/beamdoor/internal/wire"

// Remembered is the persisted state that a member sends to nodes while no member is
// current.
type Remembered struct {
	// Targets are the targets that have not ended. Packets of open flows can be forwarded
	// to them; only ready targets may receive new flows.
	Targets []Target
	// Configuration is the newest configuration known to be committed. Version 0 means
	// that there is none, so that no new flow can be placed.
	Configuration Configuration
}

// EncodeRemembered encodes persisted state without annotations and compresses it if it is
// large.
func EncodeRemembered(remembered Remembered) []byte {
	var encoder wire.Encoder
	encodeTargets(&encoder, remembered.Targets)
	if remembered.Configuration.Version > 0 {
		encodeConfiguration(&encoder, remembered.Configuration.withoutAnnotations())
	}
	return wire.Compress(encoder.Buffer)
}

// DecodeRemembered decodes persisted state.
func DecodeRemembered(data []byte) (Remembered, error) {
	unpacked, err := wire.Decompress(data)
	if err != nil {
		return Remembered{}, err
	}
	decoder := wire.NewDecoder(unpacked)
	remembered := Remembered{Targets: decodeTargets(decoder)}
	// Members of earlier releases send targets only.
	if decoder.HasMore() {
		remembered.Configuration = decodeConfiguration(decoder)
	}
	return remembered, decoder.Err("directory.decode_remembered")
}
