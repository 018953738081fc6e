// Package config reads the installation file, which holds a deployment's settings that the platform file
// (ROUTER_CONFIG) does not contain. Operators write it as a Jsonnet template (deploy/terntray.jsonnet);
// terntray-settings renders it and checks it against schema.json; the service reads the rendered JSON with Read. By
// default all replicas use frames without TLS, and co-ordinators exchange no messages.
//
// Read also checks what the schema cannot: patterns, references between sections, limits (validate.go). It opens only
// the given file; Config.LoadTLS (tls.go) reads the files that TLS requires.
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
	defaultStreams     = 100 // attempts on an HTTP/2 connection: the smallest limit that RFC 9113 (6.5.2) recommends
	defaultConnections = 1   // HTTP/2 connections to a replica
)

// Config is the content of a rendered file.
type Config struct {
	Replicas []ReplicaRule       `json:"replicas"` // the first rule that matches a replica applies
	HTTP2    HTTP2               `json:"http2"`
	TLS      map[string]TLSFiles `json:"tls"` // by the name that ReplicaRule.TLS refers to
	TwoPhase TwoPhase            `json:"phases"`
	Gossip   Gossip              `json:"peers"`
	Sizes    []Size              `json:"sizes"` // the first entry that matches a replica applies
	Shadow   Shadow              `json:"watch"`
}

// ReplicaRule sets the protocol of the replicas that match its patterns. Patterns have the syntax of path.Match; an
// empty one matches every replica.
type ReplicaRule struct {
	Model    string                `json:"model"`    // pattern of the model, as stated by discovery
	Endpoint string                `json:"endpoint"` // pattern of host:port
	Protocol replicaproto.Protocol `json:"dialect"`
	TLS      string                `json:"tls"` // key of Config.TLS; empty: cleartext
}

// HTTP2 holds the limits for connections to replicas that use HTTP/2.
type HTTP2 struct {
	Streams     int `json:"streams"`     // parallel attempts on a connection, 1 to 10,000; the replica may allow fewer
	Connections int `json:"connections"` // connections to a replica that take attempts, 1 to 16
}

// TLSFiles names the files for TLS connections to replicas.
type TLSFiles struct {
	CA         string `json:"ca"`          // PEM; required
	Cert       string `json:"cert"`        // PEM; set together with Key if replicas require a client certificate
	Key        string `json:"key"`         // PEM
	ServerName string `json:"server_name"` // expected in the replica's certificate; empty: the endpoint's host
}

// TwoPhase sets which classes allow queries that are executed in two phases (docs/phases.md).
type TwoPhase struct {
	Classes        []string `json:"tracks"`
	SharedVersions bool     `json:"shared_versions"` // all shards use one sequence of versions
}

// Gossip sets the addresses for messages between co-ordinators, which are UDP datagrams. Without peers none are sent.
type Gossip struct {
	Listen string   `json:"listen"` // host:port of this co-ordinator
	Peers  []string `json:"others"` // host:port of each other co-ordinator, at most 1,000
}

// Size sets the relative size of replicas of a model. A replica that matches no entry has size 1.
type Size struct {
	Model string  `json:"model"` // pattern of path.Match; required
	Size  float64 `json:"size"`  // above 0, up to 1,000
}

// Shadow holds scheduler settings, by their flattened keys, whose decisions are counted but not applied.
type Shadow struct {
	Settings map[string]string `json:"settings"`
}

// Read reads and validates a rendered file. An error states the file, the field, what was found there and what is
// expected. If file is empty, Read returns the defaults.
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

// Parse parses and validates the text of a rendered file. Unknown fields and text after the object are errors.
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

// withDefaults sets the limits that the file omits to their defaults.
func (config *Config) withDefaults() *Config {
	if config.HTTP2.Streams == 0 {
		config.HTTP2.Streams = defaultStreams
	}
	if config.HTTP2.Connections == 0 {
		config.HTTP2.Connections = defaultConnections
	}
	return config
}

// ProtocolOf returns a replica's protocol and the key of its entry in Config.TLS, which is empty for cleartext.
func (config *Config) ProtocolOf(model, endpoint string) (protocol replicaproto.Protocol, tlsKey string) {
	for _, rule := range config.Replicas {
		if matches(rule.Model, model) && matches(rule.Endpoint, endpoint) {
			return rule.Protocol, rule.TLS
		}
	}
	return replicaproto.Frames, ""
}

// SizeOf returns the relative size of replicas of a model, or 0 if no entry matches.
func (config *Config) SizeOf(model string) float64 {
	for _, size := range config.Sizes {
		if matches(size.Model, model) {
			return size.Size
		}
	}
	return 0
}

// matches reports whether a value matches a pattern, which must be well-formed.
func matches(pattern, value string) bool {
	if pattern == "" {
		return true
	}
	matched, err := path.Match(pattern, value)
	return err == nil && matched
}
