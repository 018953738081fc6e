package config

import (
	"strings"
	"testing"

	"terntray/internal/replicaproto"
)

const sample = `{"replicas":[{"model":"m2*","dialect":"http2","tls":"boxes"},{"endpoint":"10.1.*:8081","dialect":"http2"}],
"http2":{"streams":7},"tls":{"boxes":{"ca":"ca.pem"}}}`

func TestFirstMatchingRuleApplies(t *testing.T) {
	config, err := Parse([]byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		model, endpoint string
		want            replicaproto.Protocol
		tls             string
	}{
		{"m2x", "10.1.0.1:8081", replicaproto.HTTP2, "boxes"},
		{"m1", "10.1.0.1:8081", replicaproto.HTTP2, ""},
		{"m1", "10.2.0.1:8081", replicaproto.Frames, ""},
	} {
		protocol, tlsKey := config.ProtocolOf(test.model, test.endpoint)
		if protocol != test.want || tlsKey != test.tls {
			t.Errorf("%+v: %s %q", test, protocol, tlsKey)
		}
	}
	if config.HTTP2 != (HTTP2{7, defaultConnections}) {
		t.Errorf("%+v", config.HTTP2)
	}
}

func TestErrorsStateFieldFoundAndWanted(t *testing.T) {
	for text, want := range map[string]string{
		`{`:       "unexpected",
		`{"x":1}`: `unknown field "x"`,
		`{} {}`:   "text after the object",
		`{"peers":{"listen":"127.0.0.1:1","others":["nowhere"]}}`:                       `peers.others[0]: found "nowhere", wanted host:port`,
		`{"peers":{"listen":"127.0.0.1:1","others":["127.0.0.1:1"]}}`:                   `peers.others[0]: found "127.0.0.1:1", this co-ordinator's own address`,
		`{"peers":{"others":["127.0.0.1:2"]}}`:                                          `peers.listen: found "", wanted host:port`,
		`{"sizes":[{"model":"[","size":1}]}`:                                            "sizes[0].model",
		`{"sizes":[{"model":"a","size":0}]}`:                                            "sizes[0].size: found 0, wanted above 0",
		`{"watch":{"settings":{"a":1}}}`:                                                "watch.settings",
		`{"watch":{"act":true}}`:                                                        "unknown field",
		`{"http2":{"streams":"x"}}`:                                                     "http2.streams: found JSON string, wanted type int",
		`{"http2":{"streams":-1}}`:                                                      "http2.streams: found -1",
		`{"http2":{"connections":99}}`:                                                  "http2.connections: found 99",
		`{"replicas":[{"dialect":"spdy"}]}`:                                             `replicas[0].dialect: found "spdy"`,
		`{"replicas":[{"dialect":"http2","model":"["}]}`:                                "replicas[0].model",
		`{"replicas":[{"dialect":"http2","tls":"x"}]}`:                                  `replicas[0].tls: found "x"`,
		`{"replicas":[{"dialect":"frames","tls":"x"}],"tls":{"x":{"ca":"c"}}}`:          "frames have no TLS",
		`{"tls":{"x":{"ca":"c"}}}`:                                                      "tls.x: found no rule",
		`{"replicas":[{"dialect":"http2","tls":"x"}],"tls":{"x":{}}}`:                   "tls.x.ca: found nothing",
		`{"replicas":[{"dialect":"http2","tls":"x"}],"tls":{"x":{"ca":"c","key":"k"}}}`: "wanted both or none",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
	if _, err := Read("/does/not/exist"); err == nil {
		t.Error("a missing file is accepted")
	}
}

// Every text is either accepted, as a valid Config, or rejected with an error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte(`{"replicas":[{"dialect":"http2","endpoint":"[a-"}],"http2":{"streams":-1}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		config, err := Parse(text)
		if (config == nil) == (err == nil) {
			t.Fatalf("%v, %v", config, err)
		}
		if config == nil {
			return
		}
		if config.HTTP2.Streams < 1 || config.HTTP2.Connections < 1 {
			t.Errorf("%+v", config.HTTP2)
		}
		if p, key := config.ProtocolOf("m", "a:1"); key != "" && (p != replicaproto.HTTP2 || config.TLS[key].CA == "") {
			t.Errorf("%s, TLS %q", p, key)
		}
	})
}
