package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"path"
	"slices"

	"terntray/internal/replicaproto"
)

const (
	maxStreams     = 10_000 // attempts on an HTTP/2 connection
	maxConnections = 16     // HTTP/2 connections to a replica
	maxPeers       = 1000   // other co-ordinators
	maxSize        = 1000   // relative size of a replica
)

var errTrailingText = errors.New("found text after the object, wanted the end of the file")

// FieldError describes an invalid field of the file.
type FieldError struct {
	Field  string // its path, such as replicas[0].tls
	Found  string
	Wanted string
}

// Error returns the path of the field, what was found there, and what is allowed.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: found %s, wanted %s", e.Field, e.Found, e.Wanted)
}

// describeDecodeError converts a type mismatch to a FieldError.
func describeDecodeError(err error) error {
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) {
		return err
	}
	return &FieldError{Field: mismatch.Field, Found: "JSON " + mismatch.Value, Wanted: "type " + mismatch.Type.String()}
}

// validation collects the errors of a file, so that all are reported at once.
type validation struct {
	errs []error
}

func (v *validation) fail(field, found, wanted string) {
	v.errs = append(v.errs, &FieldError{Field: field, Found: found, Wanted: wanted})
}

// validate checks what decoding does not and returns the joined errors, each of which is a *FieldError.
func (config *Config) validate() error {
	v := &validation{}
	v.checkHTTP2(config.HTTP2)
	v.checkReplicas(config)
	v.checkTLS(config)
	v.checkGossip(config.Gossip)
	v.checkSizes(config.Sizes)
	return errors.Join(v.errs...)
}

func (v *validation) checkHTTP2(http2 HTTP2) {
	v.checkLimit("http2.streams", http2.Streams, maxStreams)
	v.checkLimit("http2.connections", http2.Connections, maxConnections)
}

// checkLimit checks a limit. 0 is valid and selects the default.
func (v *validation) checkLimit(field string, value, maximum int) {
	if value < 0 || value > maximum {
		v.fail(field, fmt.Sprint(value), fmt.Sprintf("1 to %d", maximum))
	}
}

func (v *validation) checkReplicas(config *Config) {
	for n, rule := range config.Replicas {
		field := fmt.Sprintf("replicas[%d]", n)
		v.checkPattern(field+".model", rule.Model)
		v.checkPattern(field+".endpoint", rule.Endpoint)
		if rule.Protocol != replicaproto.Frames && rule.Protocol != replicaproto.HTTP2 {
			v.fail(field+".dialect", fmt.Sprintf("%q", rule.Protocol),
				fmt.Sprintf("%q or %q", replicaproto.Frames, replicaproto.HTTP2))
		}
		if rule.TLS != "" {
			v.checkTLSReference(field+".tls", rule, config.TLS)
		}
	}
}

// checkPattern checks that a pattern is empty or well-formed.
func (v *validation) checkPattern(field, pattern string) {
	if _, err := path.Match(pattern, ""); err != nil {
		v.fail(field, fmt.Sprintf("%q", pattern), fmt.Sprintf("a pattern: %v", err))
	}
}

func (v *validation) checkTLSReference(field string, rule ReplicaRule, entries map[string]TLSFiles) {
	if _, ok := entries[rule.TLS]; !ok {
		known := slices.Sorted(maps.Keys(entries))
		v.fail(field, fmt.Sprintf("%q", rule.TLS), fmt.Sprintf("one of %v under tls", known))
	}
	if rule.Protocol != replicaproto.HTTP2 {
		v.fail(field, fmt.Sprintf("%q with %s", rule.TLS, rule.Protocol),
			fmt.Sprintf("%s: frames have no TLS", replicaproto.HTTP2))
	}
}

func (v *validation) checkTLS(config *Config) {
	for _, name := range slices.Sorted(maps.Keys(config.TLS)) {
		field, files := "tls."+name, config.TLS[name]
		if files.CA == "" {
			v.fail(field+".ca", "nothing", "a file name")
		}
		if (files.Cert == "") != (files.Key == "") {
			v.fail(field, fmt.Sprintf("cert %q and key %q", files.Cert, files.Key), "both or none")
		}
		if !config.refersTo(name) {
			v.fail(field, "no rule that refers to it", "at least one")
		}
	}
}

// refersTo reports whether a rule refers to an entry of TLS.
func (config *Config) refersTo(name string) bool {
	return slices.ContainsFunc(config.Replicas, func(rule ReplicaRule) bool { return rule.TLS == name })
}

func (v *validation) checkGossip(gossip Gossip) {
	if len(gossip.Peers) > maxPeers {
		v.fail("peers.others", fmt.Sprint(len(gossip.Peers)), fmt.Sprintf("at most %d", maxPeers))
	}
	if len(gossip.Peers) == 0 && gossip.Listen == "" {
		return
	}
	v.checkAddress("peers.listen", gossip.Listen)
	for n, peer := range gossip.Peers {
		field := fmt.Sprintf("peers.others[%d]", n)
		if !v.checkAddress(field, peer) {
			continue
		}
		if peer == gossip.Listen {
			v.fail(field, fmt.Sprintf("%q, this co-ordinator's own address", peer), "that of another co-ordinator")
		}
	}
}

// checkAddress checks that an address is host:port and reports whether it is.
func (v *validation) checkAddress(field, address string) bool {
	if _, port, err := net.SplitHostPort(address); err == nil && port != "" {
		return true
	}
	v.fail(field, fmt.Sprintf("%q", address), "host:port")
	return false
}

func (v *validation) checkSizes(sizes []Size) {
	for n, size := range sizes {
		field := fmt.Sprintf("sizes[%d]", n)
		if _, err := path.Match(size.Model, ""); err != nil || size.Model == "" {
			v.fail(field+".model", fmt.Sprintf("%q", size.Model), "a pattern")
		}
		if inRange := size.Size > 0 && size.Size <= maxSize; !inRange {
			v.fail(field+".size", fmt.Sprint(size.Size), fmt.Sprintf("above 0, at most %v", float64(maxSize)))
		}
	}
}
