package subset

import (
	"fmt"
	"math"
	"strings"
	"unique"
)

// State is the state of a server in the list.
type State int

// The states of a server. A server that is Available accepts new requests, one that is Draining only
// completes its present ones, and one that is Removed is no longer listed.
const (
	Available State = iota
	Draining
	Removed
)

// Server is one entry of the server list.
type Server struct {
	ID       string
	Endpoint string // host and port; its syntax is checked by the caller
	Zone     string
	Model    string
	Group    int // group of the server according to discovery; not used for the choice
	State    State
	Capacity float64 // capacity according to discovery; not used for the choice
	BootMS   float64 // start of the process, Unix time in ms; 0 means unknown
}

// MaxFieldBytes is the maximum length of each string of a Server, in bytes.
const MaxFieldBytes = 256

// check returns an *EntryError with the given entry number for the first invalid field of the server.
func (s *Server) check(number int) error {
	fields := []struct{ name, value string }{
		{"ID", s.ID}, {"endpoint", s.Endpoint}, {"zone", s.Zone}, {"model", s.Model},
	}
	for _, field := range fields {
		if len(field.value) > MaxFieldBytes {
			return newEntryError(number, s.ID, field.name, fmt.Sprintf("it is longer than %d bytes", MaxFieldBytes))
		}
	}
	switch {
	case s.ID == "":
		return newEntryError(number, s.ID, "ID", "it is empty")
	case s.State < Available || s.State > Removed:
		return newEntryError(number, s.ID, "state", "it is unknown")
	case !finite(s.Capacity):
		return newEntryError(number, s.ID, "capacity", "it is not a finite number")
	case !finite(s.BootMS):
		return newEntryError(number, s.ID, "boot time", "it is not a finite number")
	}
	return nil
}

func finite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

// kind holds the fields that many servers have in common. It is interned.
type kind struct{ zone, model string }

// entry is a listed server in its compact form: 64 bytes, and one string for ID and endpoint. An entry
// is never modified, so that a list and its replacement can share it.
type entry struct {
	position uint64 // on the ring: the hash of the ID
	text     string // ID, then endpoint
	kind     unique.Handle[kind]
	capacity float64
	bootMS   float64
	group    int
	idLength uint16
	state    uint8
}

// newEntry returns an entry with copies of the server's strings, so that the buffer of a decoded message can
// be freed.
func newEntry(position uint64, server Server) *entry {
	var text strings.Builder
	text.Grow(len(server.ID) + len(server.Endpoint))
	text.WriteString(server.ID)
	text.WriteString(server.Endpoint)
	return &entry{
		position: position,
		text:     text.String(),
		kind:     unique.Make(kind{zone: server.Zone, model: server.Model}),
		capacity: server.Capacity,
		bootMS:   server.BootMS,
		group:    server.Group,
		idLength: uint16(len(server.ID)),
		state:    uint8(server.State),
	}
}

func (e *entry) id() string { return e.text[:e.idLength] }

func (e *entry) zone() string { return e.kind.Value().zone }

func (e *entry) available() bool { return State(e.state) == Available }

// server returns the entry in its public form.
func (e *entry) server() Server {
	shared := e.kind.Value()
	return Server{
		ID:       e.id(),
		Endpoint: e.text[e.idLength:],
		Zone:     shared.zone,
		Model:    shared.model,
		Group:    e.group,
		State:    State(e.state),
		Capacity: e.capacity,
		BootMS:   e.bootMS,
	}
}
