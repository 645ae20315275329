package directory

// The functions of this file remove annotations from configurations and edits sent to
// nodes. Nodes do not use them, and they make up most of the size of a route.

func (c Configuration) withoutAnnotations() Configuration {
	c.Routes = routesWithoutAnnotations(c.Routes)
	c.Services = servicesWithoutAnnotations(c.Services)
	c.Annotation = nil
	return c
}

func (e Edit) withoutAnnotations() Edit {
	spans := make([]RouteSpan, 0, len(e.Spans))
	for _, span := range e.Spans {
		span.Insert = routesWithoutAnnotations(span.Insert)
		spans = append(spans, span)
	}
	e.Spans = spans
	e.Services = servicesWithoutAnnotations(e.Services)
	e.Annotation = nil
	return e
}

func routesWithoutAnnotations(routes []Route) []Route {
	list := make([]Route, 0, len(routes))
	for _, route := range routes {
		route.Annotation = nil
		list = append(list, route)
	}
	return list
}

func servicesWithoutAnnotations(services []Service) []Service {
	list := make([]Service, 0, len(services))
	for _, service := range services {
		list = append(list, Service{Name: service.Name})
	}
	return list
}
