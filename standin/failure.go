package standin

// failure is how a target fails requests while it still sends heartbeats.
type failure uint8

const (
	failureNone failure = iota
	// failureReset resets the flow on every request.
	failureReset
	// failureNoResponse acknowledges requests but never responds.
	failureNoResponse
	// failureErrors immediately fails one in errorOneIn requests.
	failureErrors
)

// errorOneIn makes failureErrors fail one in this many requests, at random.
const errorOneIn = 2

// setFailure sets how the target fails requests; failureNone restores it.
func (t *target) setFailure(mode failure) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.failure = mode
}
