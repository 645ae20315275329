package directory

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// Minimum encoded sizes in bytes, which limit the lengths of decoded lists.
const (
	minBackendSize = 8
	minRouteSize   = 48
	minServiceSize = 8
	minMemberSize  = 20
	minSpanSize    = 12
	identitySize   = 8
)

func encodeRoute(encoder *wire.Encoder, route Route) {
	encoder.String(route.Name)
	encoder.Address(route.Address)
	encoder.Uint64(uint64(route.Timeout))
	encoder.Uint8(uint8(route.Kind))
	encoder.Uint8(route.Urgency)
	encoder.Uint64(uint64(route.Objective))
	encoder.Uint32(uint32(len(route.Backends)))
	for _, backend := range route.Backends {
		encoder.String(backend.Service)
		encoder.Uint32(backend.Weight)
	}
	encoder.Bytes(route.Annotation)
}

func decodeRoute(decoder *wire.Decoder) Route {
	route := Route{
		Name:      decoder.String(),
		Address:   decoder.Address(),
		Timeout:   time.Duration(decoder.Uint64()),
		Kind:      RouteKind(decoder.Uint8()),
		Urgency:   decoder.Uint8(),
		Objective: time.Duration(decoder.Uint64()),
	}
	for count := decoder.Count(minBackendSize); count > 0; count-- {
		route.Backends = append(route.Backends, Backend{Service: decoder.String(), Weight: decoder.Uint32()})
	}
	route.Annotation = append([]byte(nil), decoder.Bytes()...)
	return route
}

func encodeRoutes(encoder *wire.Encoder, routes []Route) {
	encoder.Uint32(uint32(len(routes)))
	for _, route := range routes {
		encodeRoute(encoder, route)
	}
}

func decodeRoutes(decoder *wire.Decoder) []Route {
	var routes []Route
	for count := decoder.Count(minRouteSize); count > 0; count-- {
		routes = append(routes, decodeRoute(decoder))
	}
	return routes
}

func encodeServices(encoder *wire.Encoder, services []Service) {
	encoder.Uint32(uint32(len(services)))
	for _, service := range services {
		encoder.String(service.Name)
		encoder.Bytes(service.Annotation)
	}
}

func decodeServices(decoder *wire.Decoder) []Service {
	var services []Service
	for count := decoder.Count(minServiceSize); count > 0; count-- {
		name := decoder.String()
		services = append(services, Service{Name: name, Annotation: append([]byte(nil), decoder.Bytes()...)})
	}
	return services
}

func encodeTarget(encoder *wire.Encoder, target Target) {
	encoder.String(target.ID)
	encoder.Uint64(target.Number)
	encoder.Uint32(uint32(target.Token))
	encoder.String(target.Service)
	encoder.String(target.Zone)
	encoder.Address(target.Address)
	encoder.Uint32(target.Slots)
	encoder.Uint8(uint8(target.State))
	encoder.Uint64(target.Revision)
}

func decodeTarget(decoder *wire.Decoder) Target {
	return Target{
		ID:       decoder.String(),
		Number:   decoder.Uint64(),
		Token:    Token(decoder.Uint32()),
		Service:  decoder.String(),
		Zone:     decoder.String(),
		Address:  decoder.Address(),
		Slots:    decoder.Uint32(),
		State:    TargetState(decoder.Uint8()),
		Revision: decoder.Uint64(),
	}
}

// encodeOptionalFields appends the warm-up, start time and version of a target, up to the
// last one that is set. Without any of them the encoding is that of earlier releases.
func encodeOptionalFields(encoder *wire.Encoder, target Target) {
	if target.Warmup == nil && target.StartTime == 0 && target.Version == "" {
		return
	}
	var warmup Warmup
	if target.Warmup != nil {
		warmup = *target.Warmup
	}
	encodeWarmup(encoder, warmup)
	if target.StartTime > 0 || target.Version != "" {
		encoder.Uint64(target.StartTime)
	}
	if target.Version != "" {
		encoder.String(target.Version)
	}
}

func decodeOptionalFields(decoder *wire.Decoder, target *Target) {
	if !decoder.HasMore() {
		return
	}
	if warmup := decodeWarmup(decoder); warmup.Remaining > 0 {
		target.Warmup = &warmup
	}
	if decoder.HasMore() {
		target.StartTime = decoder.Uint64()
	}
	if decoder.HasMore() {
		target.Version = decoder.String()
	}
}

func encodeMember(encoder *wire.Encoder, member Member) {
	encoder.Uint32(member.ID)
	encoder.Uint64(member.Identity)
	encoder.String(member.Address)
	encoder.String(member.Zone)
}

func decodeMember(decoder *wire.Decoder) Member {
	return Member{
		ID:       decoder.Uint32(),
		Identity: decoder.Uint64(),
		Address:  decoder.String(),
		Zone:     decoder.String(),
	}
}

// EncodeMembers appends a list of members.
func EncodeMembers(encoder *wire.Encoder, members []Member) {
	encoder.Uint32(uint32(len(members)))
	for _, member := range members {
		encodeMember(encoder, member)
	}
}

// DecodeMembers decodes a list of members.
func DecodeMembers(decoder *wire.Decoder) []Member {
	var members []Member
	for count := decoder.Count(minMemberSize); count > 0; count-- {
		members = append(members, decodeMember(decoder))
	}
	return members
}

func encodeConfiguration(encoder *wire.Encoder, configuration Configuration) {
	encoder.Uint64(configuration.Version)
	encoder.Uint64(uint64(configuration.IdleTimeout))
	encodeRoutes(encoder, configuration.Routes)
	encodeServices(encoder, configuration.Services)
	encoder.Bytes(configuration.Annotation)
}

func decodeConfiguration(decoder *wire.Decoder) Configuration {
	configuration := Configuration{
		Version:     decoder.Uint64(),
		IdleTimeout: time.Duration(decoder.Uint64()),
		Routes:      decodeRoutes(decoder),
		Services:    decodeServices(decoder),
	}
	configuration.Annotation = append([]byte(nil), decoder.Bytes()...)
	return configuration
}
