// Package config is the project's own settings file: what the platform's file does not say. It is written as a
// Jsonnet template (deploy/terntray.jsonnet), rendered and checked against schema.json by terntray-settings, and read
// here as JSON. Without a file all is as the zero value says: frames to every replica, no TLS.
//
// Read checks what the schema cannot: patterns, references, limits that fit together. It opens no file but the one
// named; what TLS needs is read by Files.Load (tls.go).
package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"path"
	"slices"

	"terntray/internal/replicaproto"
)

// Schema is the JSON Schema (draft 2020-12) of a rendered file.
//
//go:embed schema.json
var Schema []byte

const (
	usualStreams = 100 // attempts on a connection of HTTP/2: what RFC 9113 (6.5.2) names as the least to be allowed
	usualConns   = 1   // connections to a replica that take attempts
	mostStreams  = 10_000
	mostConns    = 16
	mostPeers    = 1000
	mostSize     = 1000
)

// Config is what a rendered file says.
type Config struct {
	Replicas []ReplicaRule       `json:"replicas"` // the first that fits a replica holds for it
	HTTP2    HTTP2               `json:"http2"`
	TLS      map[string]TLSFiles `json:"tls"` // by the name that a rule gives
	Phases   TwoPhase            `json:"phases"`
	Peers    Gossip              `json:"peers"`
	Sizes    []Size              `json:"sizes"` // the first that fits a replica holds for it
	Watch    Shadow              `json:"watch"`
}

// Gossip says how messages go between co-ordinators: as datagrams. Without others none goes.
type Gossip struct {
	Listen string   `json:"listen"` // host:port
	Others []string `json:"others"` // host:port, each where another co-ordinator listens
}

// Size says how large replicas of a model are beside those of others; what no rule names is of size 1.
type Size struct {
	Model string  `json:"model"` // pattern of path.Match
	Size  float64 `json:"size"`
}

// Shadow names settings, as the platform's file flattened names them, under which decisions are counted and not acted on.
type Shadow struct {
	Settings map[string]string `json:"settings"`
}

// ReplicaRule says what replicas speak. A pattern is path.Match's; an empty one fits all.
type ReplicaRule struct {
	Model    string                `json:"model"`    // as discovery tells it
	Endpoint string                `json:"endpoint"` // host:port
	Protocol replicaproto.Protocol `json:"dialect"`
	TLS      string                `json:"tls"` // names an entry of TLS; empty: cleartext
}

// HTTP2 bounds its connections.
type HTTP2 struct {
	Streams     int `json:"streams"`     // attempts on one at a time; the box may allow fewer
	Connections int `json:"connections"` // to a replica, that take attempts
}

// TwoPhase says which tracks take questions that may be asked in two phases; docs/phases.md.
type TwoPhase struct {
	Tracks         []string `json:"tracks"`
	SharedVersions bool     `json:"shared_versions"` // blocks share one line of versions
}

// TLSFiles are what TLS towards some replicas needs.
type TLSFiles struct {
	CA         string `json:"ca"`   // PEM
	Cert       string `json:"cert"` // PEM, with Key: what a replica may ask for
	Key        string `json:"key"`
	ServerName string `json:"server_name"` // to be found in a replica's certificate; empty: the endpoint's host
}

// Read reads a rendered file; an error names the file, the place and what is wanted. An empty name: the zero value.
func Read(file string) (*Config, error) {
	if file == "" {
		return (&Config{}).filled(), nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("installation: %w", err)
	}
	i, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("installation: %s: %w", file, err)
	}
	return i, nil
}

// Parse reads the text of a rendered file.
func Parse(text []byte) (*Config, error) {
	i := &Config{}
	in := json.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	if err := in.Decode(i); err != nil {
		var bad *json.UnmarshalTypeError
		if errors.As(err, &bad) {
			return nil, fmt.Errorf("%s: found a %s, wanted a %s", bad.Field, bad.Value, bad.Type)
		}
		return nil, err
	}
	if _, err := in.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("found more behind the object, wanted its end")
	}
	if err := i.sound(); err != nil {
		return nil, err
	}
	return i.filled(), nil
}

func (i *Config) filled() *Config {
	if i.HTTP2.Streams == 0 {
		i.HTTP2.Streams = usualStreams
	}
	if i.HTTP2.Connections == 0 {
		i.HTTP2.Connections = usualConns
	}
	return i
}

// sound checks what the parts mean together; all that is wrong is named.
func (i *Config) sound() error {
	var all []error
	wrong := func(at, format string, args ...any) {
		all = append(all, fmt.Errorf("%s: "+format, append([]any{at}, args...)...))
	}
	if n := i.HTTP2.Streams; n < 0 || n > mostStreams {
		wrong("http2.streams", "found %d, wanted 1 to %d", n, mostStreams)
	}
	if n := i.HTTP2.Connections; n < 0 || n > mostConns {
		wrong("http2.connections", "found %d, wanted 1 to %d", n, mostConns)
	}
	used := map[string]bool{}
	for n, r := range i.Replicas {
		at := fmt.Sprintf("replicas[%d]", n)
		for name, pattern := range map[string]string{"model": r.Model, "endpoint": r.Endpoint} {
			if _, err := path.Match(pattern, ""); err != nil {
				wrong(at+"."+name, "found %q, wanted a pattern: %v", pattern, err)
			}
		}
		if r.Protocol != replicaproto.Frames && r.Protocol != replicaproto.HTTP2 {
			wrong(at+".dialect", "found %q, wanted %q or %q", r.Protocol, replicaproto.Frames, replicaproto.HTTP2)
		}
		if r.TLS == "" {
			continue
		}
		used[r.TLS] = true
		if _, ok := i.TLS[r.TLS]; !ok {
			wrong(at+".tls", "found %q, wanted one of %v under tls", r.TLS, slices.Sorted(maps.Keys(i.TLS)))
		}
		if r.Protocol != replicaproto.HTTP2 {
			wrong(at+".tls", "found %q with %s, wanted %s: frames have no TLS", r.TLS, r.Protocol, replicaproto.HTTP2)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(i.TLS)) {
		f := i.TLS[name]
		if f.CA == "" {
			wrong("tls."+name+".ca", "found nothing, wanted a file")
		}
		if (f.Cert == "") != (f.Key == "") {
			wrong("tls."+name, "found cert %q and key %q, wanted both or none", f.Cert, f.Key)
		}
		if !used[name] {
			wrong("tls."+name, "found no rule that names it, wanted one")
		}
	}
	if len(i.Peers.Others) > mostPeers {
		wrong("peers.others", "found %d, wanted %d at the most", len(i.Peers.Others), mostPeers)
	}
	if len(i.Peers.Others) > 0 || i.Peers.Listen != "" {
		addrs := map[string]string{"peers.listen": i.Peers.Listen}
		for n, other := range i.Peers.Others {
			addrs[fmt.Sprintf("peers.others[%d]", n)] = other
		}
		for _, at := range slices.Sorted(maps.Keys(addrs)) {
			if _, port, err := net.SplitHostPort(addrs[at]); err != nil || port == "" {
				wrong(at, "found %q, wanted host:port", addrs[at])
			} else if at != "peers.listen" && addrs[at] == i.Peers.Listen {
				wrong(at, "found %q, this co-ordinator's own, wanted another's", addrs[at])
			}
		}
	}
	for n, s := range i.Sizes {
		if _, err := path.Match(s.Model, ""); err != nil || s.Model == "" {
			wrong(fmt.Sprintf("sizes[%d].model", n), "found %q, wanted a pattern", s.Model)
		}
		if !(s.Size > 0 && s.Size <= mostSize) {
			wrong(fmt.Sprintf("sizes[%d].size", n), "found %v, wanted above 0 to %v", s.Size, float64(mostSize))
		}
	}
	return errors.Join(all...)
}

// ProtocolOf tells what a replica speaks and which entry of TLS holds for it.
func (i *Config) ProtocolOf(model, endpoint string) (replicaproto.Protocol, string) {
	for _, r := range i.Replicas {
		if fits(r.Model, model) && fits(r.Endpoint, endpoint) {
			return r.Protocol, r.TLS
		}
	}
	return replicaproto.Frames, ""
}

func fits(pattern, value string) bool {
	ok, err := path.Match(pattern, value)
	return pattern == "" || err == nil && ok
}
