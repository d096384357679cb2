package zpobject

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"
)

type (
	// Memory is an in-memory API, used by tests and by the platform stand-in. If
	// Fault is set, it is called before each call and decides whether the call
	// is rejected or loses its response.
	Memory struct {
		Fault func(call, name string) Fault

		mu       sync.Mutex
		revision int64
		objects  map[string]Object
		history  []Object
		vms      []VM
		changed  chan struct{}
	}

	// Fault is the way in which a call of Memory fails.
	Fault int
)

// Faults that can be injected into a call of Memory.
const (
	FaultNone         Fault = iota
	FaultRejected           // the call is rejected and has no effect
	FaultResponseLost       // the call takes effect, but its response is lost
)

const maxHistoryEntries = 20000

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{objects: map[string]Object{}, changed: make(chan struct{})}
}

// Get returns one object.
func (m *Memory) Get(_ context.Context, name string) (Object, error) {
	if m.injectedFault("get", name) != FaultNone {
		return Object{}, ErrUnavailable
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[name]
	if !ok {
		return Object{}, ErrNotFound
	}
	return o, nil
}

// List returns all objects under a prefix, sorted by name.
func (m *Memory) List(_ context.Context, prefix string) (Listing, error) {
	if m.injectedFault("list", prefix) != FaultNone {
		return Listing{}, ErrUnavailable
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	l := Listing{Revision: m.revision}
	for name, o := range m.objects {
		if strings.HasPrefix(name, prefix) {
			l.Objects = append(l.Objects, o)
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Name < l.Objects[j].Name })
	return l, nil
}

// Put creates or conditionally updates an object.
func (m *Memory) Put(_ context.Context, name string, body []byte, ifRevision int64) (Object, error) {
	f := m.injectedFault("put", name)
	if f == FaultRejected {
		return Object{}, ErrUnavailable
	}
	if len(body) > MaxBodyBytes {
		return Object{}, ErrTooLarge
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[name].Revision != ifRevision {
		return Object{}, ErrConflict
	}
	o := m.record(Object{Name: name, Body: append([]byte(nil), body...)})
	if f == FaultResponseLost {
		return Object{}, ErrOutcomeUnknown
	}
	return o, nil
}

// Delete removes an object if it still has the given revision.
func (m *Memory) Delete(_ context.Context, name string, ifRevision int64) error {
	f := m.injectedFault("delete", name)
	if f == FaultRejected {
		return ErrUnavailable
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[name]
	if !ok {
		return ErrNotFound
	}
	if o.Revision != ifRevision {
		return ErrConflict
	}
	m.record(Object{Name: name, Deleted: true})
	if f == FaultResponseLost {
		return ErrOutcomeUnknown
	}
	return nil
}

// Watch returns the changes under a prefix after revision from, waiting up to
// wait for the first. It returns ErrNotFound if the history no longer reaches back
// to from; the caller must list again.
func (m *Memory) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) (Listing, error) {
	if m.injectedFault("watch", prefix) != FaultNone {
		return Listing{}, ErrUnavailable
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l, changed, err := m.changesAfter(prefix, from)
		if err != nil || len(l.Objects) > 0 {
			return l, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return l, nil
		case <-ctx.Done():
			return Listing{}, ErrUnavailable.WithCause(ctx.Err())
		}
	}
}

// VMs returns the list of VMs.
func (m *Memory) VMs(context.Context) ([]VM, error) {
	if m.injectedFault("vms", "") != FaultNone {
		return nil, ErrUnavailable
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]VM(nil), m.vms...), nil
}

// SetVMs replaces the list of VMs.
func (m *Memory) SetVMs(vms []VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms = vms
}

func (m *Memory) injectedFault(call, name string) Fault {
	if m.Fault == nil {
		return FaultNone
	}
	return m.Fault(call, name)
}

func (m *Memory) record(o Object) Object {
	m.revision++
	o.Revision = m.revision
	if o.Deleted {
		delete(m.objects, o.Name)
	} else {
		m.objects[o.Name] = o
	}
	m.history = append(m.history, o)
	if len(m.history) > maxHistoryEntries {
		m.history = append([]Object(nil), m.history[maxHistoryEntries/2:]...)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return o
}

func (m *Memory) changesAfter(prefix string, from int64) (Listing, chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.history) > 0 && m.history[0].Revision > from+1 {
		return Listing{}, nil, ErrNotFound
	}
	l := Listing{Revision: m.revision}
	first := sort.Search(len(m.history), func(i int) bool { return m.history[i].Revision > from })
	for _, o := range m.history[first:] {
		if strings.HasPrefix(o.Name, prefix) {
			l.Objects = append(l.Objects, o)
		}
	}
	return l, m.changed, nil
}
