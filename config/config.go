// Package config is the installation file, a deployment's own: what the platform file (ROUTER_CONFIG) does not say.
// Operators write it as a Jsonnet template (deploy/terntray.jsonnet); terntray-settings renders it and checks it
// against schema.json; the service reads the rendered JSON with Read. Without a file every replica is spoken to in
// frames, without TLS, and co-ordinators send each other nothing.
//
// Read checks what the schema cannot: patterns, references between sections, limits (validate.go). It opens only the
// file that it is given; the files that TLS needs are read by Config.LoadTLS (tls.go).
package config

import (
	"bytes"
	_ "embed" // for Schema
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path"

	"terntray/internal/replicaproto"
)

// Schema is the JSON Schema (draft 2020-12) of a rendered file.
//
//go:embed schema.json
var Schema []byte

const (
	defaultStreams     = 100 // attempts on an HTTP/2 connection: the least limit that RFC 9113 (6.5.2) recommends
	defaultConnections = 1   // HTTP/2 connections to a replica
)

// Config is what a rendered file says.
type Config struct {
	Replicas []ReplicaRule       `json:"replicas"` // the first rule that matches a replica applies
	HTTP2    HTTP2               `json:"http2"`
	TLS      map[string]TLSFiles `json:"tls"` // by the name that a ReplicaRule gives
	TwoPhase TwoPhase            `json:"phases"`
	Gossip   Gossip              `json:"peers"`
	Sizes    []Size              `json:"sizes"` // the first size that matches a replica applies
	Shadow   Shadow              `json:"watch"`
}

// ReplicaRule says which protocol the matching replicas speak. Patterns are those of path.Match; an empty one matches
// every replica.
type ReplicaRule struct {
	Model    string                `json:"model"`    // pattern of the model that discovery names
	Endpoint string                `json:"endpoint"` // pattern of host:port
	Protocol replicaproto.Protocol `json:"dialect"`
	TLS      string                `json:"tls"` // key of Config.TLS; empty: cleartext
}

// HTTP2 limits the connections to replicas that speak HTTP/2.
type HTTP2 struct {
	Streams     int `json:"streams"`     // concurrent attempts on a connection, 1 to 10,000; the replica may allow fewer
	Connections int `json:"connections"` // connections to a replica that take attempts, 1 to 16
}

// TLSFiles are the files that TLS towards some replicas needs.
type TLSFiles struct {
	CA         string `json:"ca"`          // PEM; required
	Cert       string `json:"cert"`        // PEM; together with Key, for replicas that ask for a client certificate
	Key        string `json:"key"`         // PEM
	ServerName string `json:"server_name"` // expected in the replica's certificate; empty: the endpoint's host
}

// TwoPhase says which classes take queries that may be executed in two phases (docs/phases.md).
type TwoPhase struct {
	Classes        []string `json:"tracks"`
	SharedVersions bool     `json:"shared_versions"` // all shards share one sequence of versions
}

// Gossip says how co-ordinators exchange messages. They are UDP datagrams; without peers none is sent.
type Gossip struct {
	Listen string   `json:"listen"` // host:port of this co-ordinator
	Peers  []string `json:"others"` // host:port of each other co-ordinator, 1,000 at the most
}

// Size gives the relative size of replicas of a model. A replica that no entry matches has size 1.
type Size struct {
	Model string  `json:"model"` // pattern of path.Match; required
	Size  float64 `json:"size"`  // above 0, up to 1,000
}

// Shadow holds settings of the scheduler, by their flattened keys, whose decisions are counted and not acted on.
type Shadow struct {
	Settings map[string]string `json:"settings"`
}

// Read reads a rendered file. An error names the file, the field, what was found there and what is wanted. An empty
// name gives the defaults.
func Read(file string) (*Config, error) {
	if file == "" {
		return (&Config{}).withDefaults(), nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("installation: %w", err)
	}
	config, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("installation: %s: %w", file, err)
	}
	return config, nil
}

// Parse reads the text of a rendered file and validates it. Unknown fields and text after the object are errors.
func Parse(text []byte) (*Config, error) {
	config := &Config{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(config); err != nil {
		return nil, describeDecodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errTrailingText
	}
	if err := config.validate(); err != nil {
		return nil, err
	}
	return config.withDefaults(), nil
}

// withDefaults fills in the limits that the file leaves out.
func (config *Config) withDefaults() *Config {
	if config.HTTP2.Streams == 0 {
		config.HTTP2.Streams = defaultStreams
	}
	if config.HTTP2.Connections == 0 {
		config.HTTP2.Connections = defaultConnections
	}
	return config
}

// ProtocolOf returns the protocol that a replica speaks and the key of its entry in TLS; empty: cleartext.
func (config *Config) ProtocolOf(model, endpoint string) (protocol replicaproto.Protocol, tlsKey string) {
	for _, rule := range config.Replicas {
		if matches(rule.Model, model) && matches(rule.Endpoint, endpoint) {
			return rule.Protocol, rule.TLS
		}
	}
	return replicaproto.Frames, ""
}

// SizeOf returns the relative size of replicas of a model; 0 where no entry matches.
func (config *Config) SizeOf(model string) float64 {
	for _, size := range config.Sizes {
		if matches(size.Model, model) {
			return size.Size
		}
	}
	return 0
}

// matches reports whether a value matches a pattern. The patterns of a valid Config are well-formed.
func matches(pattern, value string) bool {
	if pattern == "" {
		return true
	}
	matched, err := path.Match(pattern, value)
	return err == nil && matched
}
