package egress

// links holds the neighbours of an element in one list.
type links[T any] struct{ next, previous *T }

// list is a doubly linked list whose links are part of the elements, so that it does not
// allocate. An element is in a list at most once.
type list[T any] struct {
	first, last *T
	// linksOf returns the element's links for this list.
	linksOf func(*T) *links[T]
}

func (l *list[T]) isEmpty() bool { return l.first == nil }

func (l *list[T]) pushBack(element *T) {
	own := l.linksOf(element)
	own.previous = l.last
	own.next = nil
	if l.last == nil {
		l.first = element
	} else {
		l.linksOf(l.last).next = element
	}
	l.last = element
}

func (l *list[T]) remove(element *T) {
	own := l.linksOf(element)
	if own.previous == nil {
		l.first = own.next
	} else {
		l.linksOf(own.previous).next = own.next
	}
	if own.next == nil {
		l.last = own.previous
	} else {
		l.linksOf(own.next).previous = own.previous
	}
	*own = links[T]{}
}

// moveBack moves an element to the end of the list.
func (l *list[T]) moveBack(element *T) {
	if l.last == element {
		return
	}
	l.remove(element)
	l.pushBack(element)
}

// pool keeps unused elements for reuse.
type pool[T any] struct{ free []*T }

func (p *pool[T]) get() *T {
	last := len(p.free) - 1
	if last < 0 {
		return new(T)
	}
	element := p.free[last]
	p.free = p.free[:last]
	return element
}

func (p *pool[T]) put(element *T) {
	var zero T
	*element = zero
	p.free = append(p.free, element)
}
