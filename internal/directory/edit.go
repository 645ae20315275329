package directory

import (
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// RouteSpan is one step of an Edit: it copies Count routes of the base, starting at
// position From, and then appends the routes in Insert.
type RouteSpan struct {
	From   uint32
	Count  uint32
	Insert []Route
}

// Edit turns the configuration of version Base into that of version Version. It holds
// only the changed routes, which keeps updates of large configurations small.
type Edit struct {
	Base        uint64
	Version     uint64
	IdleTimeout time.Duration
	Spans       []RouteSpan
	Services    []Service
	Annotation  []byte
}

// Difference returns the edit that turns base into next.
func Difference(base, next Configuration) Edit {
	edit := Edit{
		Base:        base.Version,
		Version:     next.Version,
		IdleTimeout: next.IdleTimeout,
		Services:    next.Services,
		Annotation:  next.Annotation,
	}
	positions := make(map[string]int, len(base.Routes))
	for position, route := range base.Routes {
		positions[route.Name] = position
	}
	for _, route := range next.Routes {
		position, known := positions[route.Name]
		if known && base.Routes[position].Equal(route) {
			edit.keep(uint32(position))
			continue
		}
		edit.insert(route)
	}
	return edit
}

// keep copies a route of the base: it extends the last span or starts another one.
func (e *Edit) keep(position uint32) {
	if last := len(e.Spans) - 1; last >= 0 {
		span := &e.Spans[last]
		if len(span.Insert) == 0 && span.From+span.Count == position {
			span.Count++
			return
		}
	}
	e.Spans = append(e.Spans, RouteSpan{From: position, Count: 1})
}

func (e *Edit) insert(route Route) {
	if len(e.Spans) == 0 {
		e.Spans = append(e.Spans, RouteSpan{})
	}
	last := &e.Spans[len(e.Spans)-1]
	last.Insert = append(last.Insert, route)
}

// Apply returns the edited configuration, or false if the edit does not match the base.
func (e Edit) Apply(base Configuration) (Configuration, bool) {
	if base.Version != e.Base {
		return Configuration{}, false
	}
	next := Configuration{
		Version:     e.Version,
		IdleTimeout: e.IdleTimeout,
		Services:    e.Services,
		Annotation:  e.Annotation,
	}
	for _, span := range e.Spans {
		end := uint64(span.From) + uint64(span.Count)
		if end > uint64(len(base.Routes)) {
			return Configuration{}, false
		}
		next.Routes = append(next.Routes, base.Routes[span.From:end]...)
		next.Routes = append(next.Routes, span.Insert...)
	}
	next.Routes = slices.Clip(next.Routes)
	return next, true
}

func encodeEdit(encoder *wire.Encoder, edit Edit) {
	encoder.Uint64(edit.Base)
	encoder.Uint64(edit.Version)
	encoder.Uint64(uint64(edit.IdleTimeout))
	encoder.Uint32(uint32(len(edit.Spans)))
	for _, span := range edit.Spans {
		encoder.Uint32(span.From)
		encoder.Uint32(span.Count)
		encodeRoutes(encoder, span.Insert)
	}
	encodeServices(encoder, edit.Services)
	encoder.Bytes(edit.Annotation)
}

func decodeEdit(decoder *wire.Decoder) Edit {
	edit := Edit{
		Base:        decoder.Uint64(),
		Version:     decoder.Uint64(),
		IdleTimeout: time.Duration(decoder.Uint64()),
	}
	for count := decoder.Count(minSpanSize); count > 0; count-- {
		span := RouteSpan{From: decoder.Uint32(), Count: decoder.Uint32()}
		span.Insert = decodeRoutes(decoder)
		edit.Spans = append(edit.Spans, span)
	}
	edit.Services = decodeServices(decoder)
	edit.Annotation = append([]byte(nil), decoder.Bytes()...)
	return edit
}
