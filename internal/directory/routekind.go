package directory

// RouteKind describes the requests of a route.
type RouteKind uint8

// The kinds of routes.
const (
	// RouteUnstated is the default. Requests are treated as not repeatable.
	RouteUnstated RouteKind = iota
	// RouteRepeatable is for requests that may run more than once.
	RouteRepeatable
	// RouteOnce is for requests that must run at most once.
	RouteOnce
	// RouteUpload is for requests with large bodies that must run at most once.
	RouteUpload
	// RouteDownload is for requests with large answers that may run more than once.
	RouteDownload
	routeKindCount
)

// IsRepeatable reports whether the requests of a route may run more than once.
func (k RouteKind) IsRepeatable() bool { return k == RouteRepeatable || k == RouteDownload }

// String returns the name of the kind for logs and metrics.
func (k RouteKind) String() string {
	names := [...]string{"unstated", "repeatable", "once", "upload", "download"}
	if int(k) >= len(names) {
		return names[0]
	}
	return names[k]
}
