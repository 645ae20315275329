package directory

// Nodes need no text that is kept for operators: it is most of the bytes of a
// route. The functions of this file leave it out of what nodes get.

func (c Configuration) bare() Configuration {
	c.Routes = bareRoutes(c.Routes)
	c.Services = bareServices(c.Services)
	c.Annotation = nil
	return c
}

func (e Edit) bare() Edit {
	spans := make([]RouteSpan, 0, len(e.Spans))
	for _, span := range e.Spans {
		span.Insert = bareRoutes(span.Insert)
		spans = append(spans, span)
	}
	e.Spans = spans
	e.Services = bareServices(e.Services)
	e.Annotation = nil
	return e
}

func bareRoutes(routes []Route) []Route {
	list := make([]Route, 0, len(routes))
	for _, route := range routes {
		route.Annotation = nil
		list = append(list, route)
	}
	return list
}

func bareServices(services []Service) []Service {
	list := make([]Service, 0, len(services))
	for _, service := range services {
		list = append(list, Service{Name: service.Name})
	}
	return list
}
