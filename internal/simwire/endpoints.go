package simwire

import (
	"errors"
	"io"

	"terntray/scheduler"
)

// listedEndpoint is one entry of a numbered endpoint list.
type listedEndpoint struct {
	endpoint  scheduler.Endpoint // without its start time
	startedAt int64              // microseconds of the simulation's clock; 0: unknown
}

// endpointFor returns the endpoint with its start time on the instance's own clock.
func (l listedEndpoint) endpointFor(to *instance) scheduler.Endpoint {
	endpoint := l.endpoint
	endpoint.Started = scheduler.StartUnknown
	if l.startedAt != 0 {
		endpoint.Started = microseconds(l.startedAt - to.startedAt)
	}
	return endpoint
}

// readEndpointList reads a numbered list. Events refer to it by its number until another list reuses the number.
func (s *server) readEndpointList(header *fields) error {
	number := header.integer("page")
	count := header.integer("records")
	if header.err != nil {
		return header.err
	}
	if count < 0 {
		return header.fail("field records: negative count %d", count)
	}
	var endpoints []listedEndpoint
	for range count {
		entry, err := s.read()
		if errors.Is(err, io.EOF) {
			return s.fail("input ends inside a list")
		}
		if err != nil {
			return err
		}
		listed, err := decodeEndpoint(entry)
		if err != nil {
			return err
		}
		endpoints = append(endpoints, listed)
	}
	s.endpointLists[number] = endpoints
	return nil
}

func decodeEndpoint(f *fields) (listedEndpoint, error) {
	if f.name != listEntry {
		return listedEndpoint{}, f.fail("expected an ITEM of the list")
	}
	var listed listedEndpoint
	listed.endpoint.ID = scheduler.ReplicaID(f.id("replica"))
	listed.endpoint.Size = f.number("share")
	state, known := endpointStates[f.text("lifecycle")]
	if !known {
		return listedEndpoint{}, f.fail("field lifecycle: unknown value")
	}
	listed.endpoint.State = state
	listed.startedAt = f.integerOr("cameUp", 0)
	listed.endpoint.Cell = scheduler.CellNumber(f.integerOr("cell", 0))
	listed.endpoint.Zone = scheduler.ZoneIndex(f.integerOr("zone", -1))
	f.integerOr("generationHw", 0)
	return listed, f.err
}
