package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"terntray/config"
	"terntray/internal/replicaproto"
)

func TestRepositoryTemplateRenders(t *testing.T) {
	text, err := render("../../deploy/terntray.jsonnet", nil)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "terntray.json")
	if err := replaceFile(path, text); err != nil {
		t.Fatal(err)
	}
	parsed, err := config.Read(path)
	if err != nil {
		t.Fatal(err)
	}
	if protocol, _ := parsed.ProtocolOf("zone-h2-large", "10.0.0.1:1"); protocol != replicaproto.HTTP2 {
		t.Errorf("the model zone-h2-large uses protocol %s", protocol)
	}
}

// An error names the file with the line, or with the field and what was found there.
func TestTemplateErrorsNameFileAndField(t *testing.T) {
	for text, want := range map[string]string{
		"{\n  replicas: [\n": "bad.jsonnet:3",
		"{ replicas: [{ dialect: std.extVar('which') }] }":   "which",
		"{ replicas: [{ dialect: 'spdy' }] }":                "/replicas/0/dialect",
		"{ http2: { streams: 0 } }":                          "/http2/streams",
		"{ http2: { steams: 7 } }":                           "steams",
		"{ replicas: [{ dialect: 'http2', tls: 'boxes' }] }": `replicas[0].tls: found "boxes"`,
		"{ replicas: [{ dialect: 'http2', model: '[' }] }":   "replicas[0].model",
	} {
		file := filepath.Join(t.TempDir(), "bad.jsonnet")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := render(file, nil); err == nil || !strings.Contains(err.Error(), want) ||
			!strings.Contains(err.Error(), "bad.jsonnet") {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}
